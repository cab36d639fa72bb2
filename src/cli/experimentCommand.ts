/** The command `experiment`. */
import * as commander from "commander";
import * as fs from "node:fs";
import * as decisions from "../decisions/index";
import * as experiment from "../experiment/index";
import * as result from "../result/index";
import * as output from "./output";
import * as drawnExperiment from "./randomExperiment";

interface ExperimentOptions {
    readonly policy: decisions.PolicyName[];
    readonly seed: number;
    readonly seeds: number;
    readonly json?: boolean;
    readonly report?: string;
    readonly drawn?: number;
    readonly hazards?: boolean;
    readonly contention?: boolean;
    readonly size: experiment.Size;
    readonly without: Array<decisions.Mechanism | typeof ALL>;
    readonly holdout?: boolean;
    readonly threads: number;
}

const DEFAULT_THREADS = 4;

/** Registers `experiment`, which simulates loads with the real scheduler, faster than real time. */
export function register(program: commander.Command): void {
    program.command("experiment")
        .description("Simulate loads with the scheduler and emulated workers, and print how well callers are served")
        .argument("[loads...]", `of ${Object.keys(experiment.LOADS).join(", ")}; without any: small`)
        .addOption(
            new commander.Option("--policy <names...>", "policies to compare")
                .choices(Object.keys(decisions.POLICIES))
                .default(["worth"]),
        )
        .option("--seed <n>", "seed of the first run", Number, 1)
        .option("--seeds <n>", "number of runs, with consecutive seeds", Number, 1)
        .option("--json", "one JSON document with all figures")
        .option("--report <file>", "write an HTML page with charts")
        .option("--drawn <n>", "compare the policies on this number of random deployments instead", Number)
        .addOption(
            new commander.Option("--size <size>", "size of the random deployments")
                .choices(Object.values(experiment.Size))
                .default(experiment.Size.Small),
        )
        .addOption(
            new commander.Option(
                "--without <names...>",
                "compare with each of these mechanisms disabled by itself, or with each of all",
            )
                .choices([ALL, ...Object.keys(decisions.MECHANISMS)])
                .default([]),
        )
        .option("--holdout", "random deployments of seeds that are reserved for a final check")
        .option(
            "--hazards",
            "random deployments with workers that crash and restart or shrink, and jobs that crash workers",
        )
        .option(
            "--contention",
            "random deployments with more work, uneven accounts and workers, departures at short notice, and bursts",
        )
        .option("--threads <n>", "threads that simulate random deployments", Number, DEFAULT_THREADS)
        .action(async (names: string[], options: ExperimentOptions) => {
            if (options.drawn === undefined) {
                await runNamedLoads(names.length > 0 ? names : ["small"], options);
                return;
            }
            await drawnExperiment.runRandomExperiment({
                ...options,
                drawn: options.drawn,
                without: expandAll(options.without),
            });
        });
}

/** Value of `--without` that stands for every mechanism. */
const ALL = "all";

function expandAll(names: ReadonlyArray<decisions.Mechanism | typeof ALL>): readonly decisions.Mechanism[] {
    return names.includes(ALL)
        ? Object.keys(decisions.MECHANISMS).filter(decisions.isMechanism)
        : names.filter(name => name !== ALL);
}

type RunResult = Parameters<typeof experiment.renderReport>[0][number];

async function runNamedLoads(names: readonly string[], options: ExperimentOptions): Promise<void> {
    const results: RunResult[] = [];
    for (const name of names) {
        const load = experiment.LOADS[name];
        if (!load) {
            throw new output.CommandError(result.ResultCode.NotFound, `there is no load "${name}"`);
        }
        for (const policy of options.policy) {
            for (let seed = options.seed; seed < options.seed + options.seeds; seed++) {
                results.push(await simulateOne(name, load, policy, seed, options.json === true));
            }
        }
    }
    if (options.json) {
        output.writeLine(JSON.stringify(results.map(({ samples: _samples, ...rest }) => rest)));
    }
    if (options.report !== undefined) {
        fs.writeFileSync(options.report, await experiment.renderReport(results));
    }
    const violating = results.filter(item => item.summary.breaches.length > 0);
    if (violating.length > 0) {
        throw new output.CommandError(
            result.ResultCode.TaskFailed,
            `${violating.length} runs violated a guarantee of the scheduler`,
        );
    }
}

async function simulateOne(
    name: string,
    load: experiment.Load,
    policy: decisions.PolicyName,
    seed: number,
    quiet: boolean,
): Promise<RunResult> {
    const simulated = await experiment.simulate({ load, seed, policy: decisions.POLICIES[policy] });
    const summary = experiment.summarise(simulated);
    const upperBound = experiment.getUpperBound(load, simulated.jobs.map(job => job.planned));
    if (!quiet) {
        printSummary(`${name}, policy ${policy}, seed ${seed}`, summary);
        output.writeLine(
            `  upper bound of any schedule ${upperBound.toFixed(3)}; share earned `
                + (summary.all.worth / upperBound).toFixed(3),
        );
    }
    return { load: name, policy, seed, summary, upperBound, samples: simulated.samples };
}

const COLUMNS = "                    asked  in time   late  missed  refused  worth  wait p50/p99 ms   done p50/p99 ms";

function printSummary(title: string, summary: experiment.Summary): void {
    output.writeLine(title);
    output.writeLine(COLUMNS);
    for (const group of [summary.all, ...summary.classes, ...summary.accounts, ...summary.zones]) {
        output.writeLine(renderGroup(group));
    }
    output.writeLine(
        `  accelerators in use ${summary.utilisation.toFixed(2)}, fragmentation ${summary.fragmentation.toFixed(2)}, `
            + `runs stopped ${summary.stoppedRuns}, thrown-away core-seconds `
            + `${Math.round(summary.thrownAwayCoreSeconds)}`,
    );
    summary.breaches.forEach(violation => output.writeLine(`  BROKEN: ${violation}`));
}

function renderGroup(group: experiment.Group): string {
    const formatNumber = (value: number, width: number) => String(value).padStart(width);
    return [
        `  ${group.name.padEnd(16)}`,
        formatNumber(group.asked - group.cancelled, 7),
        formatNumber(group.inTime, 9),
        formatNumber(group.late, 7),
        formatNumber(group.missed, 8),
        formatNumber(group.refused, 9),
        group.worth.toFixed(3).padStart(7),
        `${group.waitMs.p50}/${group.waitMs.p99}`.padStart(17),
        `${group.completionMs.p50}/${group.completionMs.p99}`.padStart(18),
    ].join("");
}
