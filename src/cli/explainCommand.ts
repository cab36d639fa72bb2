import type * as commander from "commander";
import * as fs from "node:fs";
import * as explain from "../explain/index";
import * as result from "../result/index";
import * as output from "./output";

export function register(program: commander.Command): void {
    program.command("explain")
        .description("Tell from log lines what became of a request or job")
        .argument("<id>", "id of the request or of the job")
        .option("--logs <files...>", "files with log lines of any instances; without it standard input")
        .option("--json", "print the story as JSON")
        .action((id: string, options: { logs?: string[]; json?: boolean; }) => {
            const texts = (options.logs ?? [STANDARD_INPUT]).map(file => fs.readFileSync(file, "utf8"));
            const lines = texts.flatMap(text => text.split("\n")).map(explain.parseLine).filter(line =>
                line !== undefined
            );
            const story = explain.tellStory(lines, id);
            output.writeLine(options.json ? JSON.stringify(story) : explain.renderStory(story));
            if (story.verdict.kind === "unknown") {
                throw new output.CommandError(result.ResultCode.NotFound, `no line tells of ${id}`);
            }
        });
}

/** Path under which Node.js reads standard input. */
const STANDARD_INPUT = "/dev/stdin";
