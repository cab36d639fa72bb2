/** `npm run soak -- --seed 1 --seeds 50`: random troubles on real processes. Exits with 1 if a promise broke. */
import * as commander from "commander";
import * as fs from "node:fs";
import * as runs from "./run";

const SIZES = {
    /** Jobs take two thirds of the accelerators on average; more than fits would make every job late. */
    small: { instances: 5, workers: 9, faultCount: 12, jobsPerSecond: 1.5, otherQueues: 0 },
    /** A link of 7 Mbit/s, as the weakest have, needs 1.5 s for such a configuration. */
    grown: {
        instances: 6,
        workers: 9,
        faultCount: 12,
        jobsPerSecond: 1.5,
        otherQueues: 5_000,
        storeBytesPerSecond: 875_000,
    },
    large: { instances: 160, workers: 180, faultCount: 30, jobsPerSecond: 25, otherQueues: 0 },
} as const;

interface Options {
    readonly seed: string;
    readonly seeds: string;
    readonly seconds: string;
    readonly size: keyof typeof SIZES;
    readonly block: string;
    readonly verbose?: boolean;
    readonly keep?: boolean;
}

async function main(): Promise<void> {
    const options = new commander.Command("soak")
        .option("--seed <number>", "seed of the first run", "1")
        .option("--seeds <count>", "how many runs, each with the next seed", "1")
        .option("--seconds <count>", "how long troubles come in each run", "20")
        .addOption(
            new commander.Option("--size <size>", "size of the site").choices(Object.keys(SIZES)).default("small"),
        )
        .option("--block <number>", "loopback addresses 127.BLOCK.*; soaks side by side need different ones", "41")
        .option("--verbose", "print each trouble as it begins")
        .option("--keep", "keep settings and output of the processes, also of runs without a breach")
        .parse()
        .opts<Options>();
    // Ends the instances on its way out.
    process.once("SIGTERM", () => process.exit(1));
    process.once("SIGINT", () => process.exit(1));
    const first = Number(options.seed);
    let broken = 0;
    for (let seed = first; seed < first + Number(options.seeds); seed++) {
        const report = await runs.runSoak({
            ...SIZES[options.size],
            seed,
            faultPhaseMs: Number(options.seconds) * 1_000,
            addressBlock: Number(options.block),
            onProgress: line => {
                if (options.verbose) {
                    print(line);
                }
            },
        });
        const failed = report.violations.length > 0;
        broken += failed ? 1 : 0;
        print(
            `seed ${seed}: ${failed ? `${report.violations.length} broken promises` : "ok"}; `
                + `${report.accepted} of ${report.jobs} jobs accepted, ${report.starts} starts`
                + (failed ? `; output in ${report.folder}` : ""),
        );
        report.violations.forEach(breach => print(`  ${breach}`));
        if (!failed && !options.keep) {
            fs.rmSync(report.folder, { recursive: true, force: true });
        }
    }
    print(`${options.seeds} runs from seed ${first}, ${broken} with a broken promise`);
    process.exit(broken > 0 ? 1 : 0);
}

function print(line: string): void {
    process.stdout.write(`${line}\n`);
}

void main();
