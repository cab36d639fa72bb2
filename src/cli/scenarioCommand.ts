/** The command `scenario run`. */
import * as commander from "commander";
import * as result from "../result/index";
import * as scenario from "../scenario/index";
import * as output from "./output";

interface RunOptions extends output.PrintOptions {
    readonly policy?: "fifoFirstFit" | "bestFit" | "guaranteed";
    readonly seed: number;
}

/** Registers `scenario run`, which runs scripted scenarios on a manual clock. */
export function register(program: commander.Command): void {
    program
        .command("scenario")
        .description("scripted scenarios")
        .command("run")
        .argument("<files...>", "scenario files")
        .addOption(
            new commander.Option("--policy <policy>", "overrides the policy of the scenarios").choices([
                "fifoFirstFit",
                "bestFit",
                "guaranteed",
            ]),
        )
        .option("--seed <n>", "seed of the random numbers", Number, 1)
        .option("--json", "one JSON document per scenario")
        .action(async (files: string[], options: RunOptions) => {
            let failed = 0;
            for (const file of files) {
                failed += await runFile(file, options) ? 0 : 1;
            }
            if (failed > 0) {
                throw new output.CommandError(
                    result.ResultCode.TaskFailed,
                    `${failed} of ${files.length} scenarios failed`,
                );
            }
            output.writeLine(`${files.length} scenarios passed`);
        });
}

async function runFile(file: string, options: RunOptions): Promise<boolean> {
    const read = scenario.readScenarioFile(file);
    const { failures, counters } = await scenario.runScenario(read.scenario, {
        policy: options.policy,
        seed: options.seed,
    });
    if (options.json) {
        output.print({ file, passed: failures.length === 0, failures, counters }, options);
        return failures.length === 0;
    }
    output.writeLine(`${failures.length === 0 ? "pass" : "FAIL"}  ${file}: ${read.scenario.about}`);
    for (const failure of failures) {
        output.writeLine(
            `      ${file}:${read.expectLines[failure.index]}: at ${
                failure.atMs / 1000
            } s expected ${failure.expected}, saw ${failure.seen}`,
        );
    }
    return failures.length === 0;
}
