/** `npm run soak -- --seed 1 --seeds 50`: injects random faults into real processes. Exits with 1 on any violation. */
import * as commander from "commander";
import * as fs from "node:fs";
import * as soakRun from "./run";

const SIZES = {
    /** Jobs use two thirds of the accelerators on average; with more load than capacity every job would be late. */
    small: { instances: 5, workers: 9, faultCount: 12, jobsPerSecond: 1.5, otherQueues: 0 },
    /** A link of 7 Mbit/s, as the slowest sites have, takes 1.5 s to transfer a configuration of this size. */
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
    readonly unusualJobs?: boolean;
    readonly verbose?: boolean;
    readonly keep?: boolean;
}

async function main(): Promise<void> {
    const options = new commander.Command("soak")
        .option("--seed <number>", "seed of the first run", "1")
        .option("--seeds <count>", "how many runs, each with the next seed", "1")
        .option("--seconds <count>", "how long faults are injected in each run", "20")
        .addOption(
            new commander.Option("--size <size>", "size of the site").choices(Object.keys(SIZES)).default("small"),
        )
        .option(
            "--block <number>",
            "uses the loopback addresses 127.BLOCK.*; concurrent soak runs need different blocks",
            "41",
        )
        .option("--unusual-jobs", "add jobs with many dependencies, tasks or overdue occurrences")
        .option("--verbose", "print each fault as it begins")
        .option("--keep", "keep settings and logs of the processes, also of runs without a violation")
        .parse()
        .opts<Options>();
    // Exiting through process.exit kills the instances, see instance.ts.
    process.once("SIGTERM", () => process.exit(1));
    process.once("SIGINT", () => process.exit(1));
    const firstSeed = Number(options.seed);
    let failedRuns = 0;
    for (let seed = firstSeed; seed < firstSeed + Number(options.seeds); seed++) {
        const report = await soakRun.runSoak({
            ...SIZES[options.size],
            seed,
            faultPhaseMs: Number(options.seconds) * 1_000,
            addressBlock: Number(options.block),
            unusualJobs: options.unusualJobs ?? false,
            onProgress: line => {
                if (options.verbose) {
                    print(line);
                }
            },
        });
        const hasViolations = report.violations.length > 0;
        failedRuns += hasViolations ? 1 : 0;
        print(
            `seed ${seed}: ${hasViolations ? `${report.violations.length} violations` : "ok"}; `
                + `${report.accepted} of ${report.jobs} jobs accepted, ${report.starts} starts`
                + (hasViolations ? `; output in ${report.folder}` : ""),
        );
        report.violations.forEach(violation => print(`  ${violation}`));
        if (!hasViolations && !options.keep) {
            fs.rmSync(report.folder, { recursive: true, force: true });
        }
    }
    print(`${options.seeds} runs from seed ${firstSeed}, ${failedRuns} with violations`);
    process.exit(failedRuns > 0 ? 1 : 0);
}

function print(line: string): void {
    process.stdout.write(`${line}\n`);
}

/** Names the option that avoids an address in use, which would otherwise show as a failed `listen`. */
function describeError(err: unknown): string {
    if (!(err instanceof Error)) {
        return String(err);
    }
    return "code" in err && err.code === "EADDRINUSE"
        ? `${err.message}: another soak may run with the same --block, choose another one`
        : err.stack ?? err.message;
}

main().catch((err: unknown) => {
    print(describeError(err));
    process.exit(1);
});
