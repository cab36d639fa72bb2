/** `experiment --drawn`: variants on random deployments, paired on the same seeds. */
import type * as decisions from "../decisions/index";
import * as experiment from "../experiment/index";
import * as result from "../result/index";
import * as output from "./output";

export interface RandomExperimentOptions {
    /** How many deployments. */
    readonly drawn: number;
    readonly size: experiment.Size;
    readonly policy: readonly decisions.PolicyName[];
    /** Each left out by itself from the first policy. */
    readonly without: readonly decisions.Mechanism[];
    readonly seed: number;
    readonly holdout?: boolean;
    /** With workers that crash and come back, capacities that shrink, and jobs that take their workers down. */
    readonly hazards?: boolean;
    readonly threads: number;
    readonly json?: boolean;
}

/** Seeds that no round looks at: far from all that are counted up from 1. */
const HOLDOUT_SEED = 7_000_000;
const NAME_WIDTH = 16;
const WIDTH = 11;

export async function runRandomExperiment(options: RandomExperimentOptions): Promise<void> {
    const variants: experiment.Variant[] = [
        ...options.policy.map(policy => ({ policy, leftOut: [] })),
        ...options.without.map(name => ({ policy: options.policy[0]!, leftOut: [name] })),
    ];
    const first = options.holdout ? HOLDOUT_SEED : options.seed;
    const seeds = Array.from({ length: options.drawn }, (_, number) => first + number);
    const tasks = variants.flatMap(variant =>
        seeds.map(seed => ({ seed, size: options.size, variant, hazards: options.hazards }))
    );
    const results = await experiment.simulateBatch(tasks, options.threads);
    const byVariant = variants.map((_, number) => results.slice(number * seeds.length, (number + 1) * seeds.length));
    const measured = byVariant.map(list => list.map(item => item.measures));
    if (options.json) {
        output.writeLine(JSON.stringify(variants.map((variant, number) => ({ variant, measures: measured[number] }))));
    }
    else {
        printBaseline(`${nameVariant(variants[0]!)}, ${seeds.length} deployments from seed ${first}`, measured[0]!);
        variants.slice(1).forEach((variant, number) =>
            printDifference(nameVariant(variant), experiment.compare(measured[0]!, measured[number + 1]!))
        );
    }
    const broken = results.flatMap((item, number) =>
        item.breaches.map(breach => `seed ${tasks[number]!.seed}, ${nameVariant(tasks[number]!.variant)}: ${breach}`)
    );
    broken.forEach(breach => output.writeLine(`BROKEN: ${breach}`));
    if (broken.length > 0) {
        throw new output.CommandError(result.ResultCode.TaskFailed, `${broken.length} promises were broken`);
    }
}

function nameVariant({ policy, leftOut }: experiment.Variant): string {
    return leftOut.length === 0 ? policy : `${policy} without ${leftOut.join(", ")}`;
}

function printBaseline(title: string, measured: readonly experiment.Measures[]): void {
    output.writeLine(title);
    for (const { measure, baseline } of experiment.compare(measured, measured)) {
        output.writeLine(`  ${measure.padEnd(NAME_WIDTH)}${baseline.toFixed(4).padStart(WIDTH)}`);
    }
}

function printDifference(title: string, differences: readonly experiment.Difference[]): void {
    output.writeLine(`${title}: difference, standard error`);
    for (const { measure, mean, error } of differences) {
        const clear = Math.abs(mean) > 2 * error ? "  *" : "";
        output.writeLine(
            `  ${measure.padEnd(NAME_WIDTH)}${mean.toFixed(4).padStart(WIDTH)}${
                error.toFixed(4).padStart(WIDTH)
            }${clear}`,
        );
    }
}
