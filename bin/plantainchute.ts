#!/usr/bin/env node
/** Entry point of the command line. */
import * as platformFiles from "../platform/check";
import * as cli from "../src/cli/index";
import * as standins from "../standins/cli/index";

const program = cli.createProgram([platformFiles.checkFile]);
standins.register(program);
void cli.runProgram(program, process.argv.slice(2));
