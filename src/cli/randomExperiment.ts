/** `experiment --drawn`: compares variants of policies on the same random deployments. */
import type * as decisions from "../decisions/index";
import * as experiment from "../experiment/index";
import * as result from "../result/index";
import * as output from "./output";

/** Options of the command line. */
export interface RandomExperimentOptions {
    /** Number of deployments. */
    readonly drawn: number;
    readonly size: experiment.Size;
    readonly policy: readonly decisions.PolicyName[];
    /** Mechanisms, each of which is disabled by itself in the first policy. */
    readonly without: readonly decisions.Mechanism[];
    readonly seed: number;
    /** Uses the seeds that are reserved for a final check, in place of those from `seed`. */
    readonly holdout?: boolean;
    /** Adds workers that crash and restart, capacities that shrink, and jobs that crash their workers. */
    readonly hazards?: boolean;
    /** Adds work, uneven accounts and workers, departures at short notice, and bursts. */
    readonly contention?: boolean;
    /** Number of worker threads; 0 runs in the calling thread. */
    readonly threads: number;
    readonly json?: boolean;
}

/** First of the seeds for a final check, on which no policy is tuned; far from the seeds that are counted from 1. */
const HOLDOUT_SEED = 7_000_000;
const NAME_WIDTH = 16;
const NUMBER_WIDTH = 11;

/** Prints the measures of the first variant and the differences of the others. Throws if a guarantee was violated. */
export async function runRandomExperiment(options: RandomExperimentOptions): Promise<void> {
    const variants: experiment.Variant[] = [
        ...options.policy.map(policy => ({ policy, leftOut: [] })),
        ...options.without.map(name => ({ policy: options.policy[0]!, leftOut: [name] })),
    ];
    const firstSeed = options.holdout ? HOLDOUT_SEED : options.seed;
    const seeds = Array.from({ length: options.drawn }, (_, number) => firstSeed + number);
    const tasks = variants.flatMap(variant =>
        seeds.map(seed => ({
            seed,
            size: options.size,
            variant,
            hazards: options.hazards,
            contention: options.contention,
        }))
    );
    const results = await experiment.simulateBatch(tasks, options.threads);
    const byVariant = variants.map((_, number) => results.slice(number * seeds.length, (number + 1) * seeds.length));
    const measured = byVariant.map(list => list.map(item => item.measures));
    if (options.json) {
        output.writeLine(JSON.stringify(variants.map((variant, number) => ({ variant, measures: measured[number] }))));
    }
    else {
        printBaseline(
            `${formatVariant(variants[0]!)}, ${seeds.length} deployments from seed ${firstSeed}`,
            measured[0]!,
        );
        variants.slice(1).forEach((variant, number) =>
            printDifference(formatVariant(variant), experiment.compare(measured[0]!, measured[number + 1]!))
        );
    }
    const violations = results.flatMap((item, number) =>
        item.violations.map(violation =>
            `seed ${tasks[number]!.seed}, ${formatVariant(tasks[number]!.variant)}: ${violation}`
        )
    );
    violations.forEach(violation => output.writeLine(`BROKEN: ${violation}`));
    if (violations.length > 0) {
        throw new output.CommandError(
            result.ResultCode.TaskFailed,
            `${violations.length} guarantees of the scheduler were violated`,
        );
    }
}

function formatVariant({ policy, leftOut }: experiment.Variant): string {
    return leftOut.length === 0 ? policy : `${policy} without ${leftOut.join(", ")}`;
}

function printBaseline(title: string, measured: readonly experiment.Measures[]): void {
    output.writeLine(title);
    for (const { measure, baseline } of experiment.compare(measured, measured)) {
        output.writeLine(`  ${measure.padEnd(NAME_WIDTH)}${baseline.toFixed(4).padStart(NUMBER_WIDTH)}`);
    }
}

function printDifference(title: string, differences: readonly experiment.Difference[]): void {
    output.writeLine(`${title}: difference, standard error`);
    for (const { measure, mean, standardError } of differences) {
        const significanceMark = Math.abs(mean) > 2 * standardError ? "  *" : "";
        output.writeLine(
            `  ${measure.padEnd(NAME_WIDTH)}${mean.toFixed(4).padStart(NUMBER_WIDTH)}${
                standardError.toFixed(4).padStart(NUMBER_WIDTH)
            }${significanceMark}`,
        );
    }
}
