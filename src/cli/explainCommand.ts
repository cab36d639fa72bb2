/** The command `explain`. */
import type * as commander from "commander";
import * as fs from "node:fs";
import * as explain from "../explain/index";
import * as result from "../result/index";
import * as output from "./output";

interface ExplainOptions {
    readonly all?: boolean;
    readonly logs?: string[];
    readonly json?: boolean;
}

/** Registers `explain`, which reconstructs from log lines what happened to jobs. */
export function register(program: commander.Command): void {
    program.command("explain")
        .description("Reconstruct from log lines what happened to a request or job, or to all jobs")
        .argument("[id]", "id of the request or of the job")
        .option("--all", "a ledger of all jobs: what became of them, and where their time went")
        .option("--logs <files...>", "files with log lines of any instances; without it standard input")
        .option("--json", "print the story or the ledger as JSON")
        .action((id: string | undefined, options: ExplainOptions) => {
            const lines = readLines(options.logs ?? [STANDARD_INPUT]);
            if (options.all) {
                const ledger = explain.createJobReport(lines);
                output.writeLine(options.json ? JSON.stringify(ledger) : explain.renderJobReport(ledger));
                return;
            }
            if (id === undefined) {
                throw new output.CommandError(result.ResultCode.BadRequest, "an id or --all is required");
            }
            const story = explain.createTimeline(lines, id);
            output.writeLine(options.json ? JSON.stringify(story) : explain.renderTimeline(story));
            if (story.verdict.kind === "unknown") {
                throw new output.CommandError(result.ResultCode.NotFound, `no log line mentions the id "${id}"`);
            }
        });
}

function readLines(files: readonly string[]): explain.LogLine[] {
    return files.map(file => fs.readFileSync(file, "utf8"))
        .flatMap(text => text.split("\n"))
        .map(explain.parseLogLine)
        .filter(line => line !== undefined);
}

/** Path under which Node.js reads standard input. */
const STANDARD_INPUT = "/dev/stdin";
