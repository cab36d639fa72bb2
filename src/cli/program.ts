/** Assembles the command line from its commands. */
import * as commander from "commander";
import * as configCommands from "./configCommands";
import * as experimentCommand from "./experimentCommand";
import * as explainCommand from "./explainCommand";
import * as jobCommands from "./jobCommands";
import * as loadCommand from "./loadCommand";
import * as operatorCommands from "./operatorCommands";
import * as scenarioCommand from "./scenarioCommand";
import * as serveCommand from "./serveCommand";

/** `checkers` check kinds of files that `settings.checkFile` does not know. */
export function createProgram(checkers: readonly configCommands.FileChecker[] = []): commander.Command {
    const program = new commander.Command("plantainchute")
        .description("Schedules multi-accelerator jobs under client account guarantees")
        .showHelpAfterError("(add --help for the options)")
        .exitOverride();
    serveCommand.register(program);
    jobCommands.register(program);
    operatorCommands.register(program);
    configCommands.register(program, checkers);
    loadCommand.register(program);
    scenarioCommand.register(program);
    experimentCommand.register(program);
    explainCommand.register(program);
    return program;
}
