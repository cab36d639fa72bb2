/** Simulates random sites: `npm run fuzz -- --runs 500 --seed 1`. Exits with 1 on any violation. */
import * as commander from "commander";
import * as emulator from "../src/emulator/index";

async function main(): Promise<void> {
    const program = new commander.Command("fuzz")
        .option("--runs <count>", "how many random sites to simulate", "200")
        .option("--seed <number>", "seed of the first site; each next site has the next seed", "1")
        .option("--no-slow-store", "leave out periods in which the store is slow")
        .option(
            "--no-hazards",
            "leave out tasks that crash workers, workers that crash, and capacities that change",
        )
        .option("--no-restarts", "leave out workers that restart under the same id")
        .option("--no-evacuations", "leave out zones that are evacuated")
        .option(
            "--no-contention",
            "leave out competing accounts, uneven workers, and groups of workers that leave at short notice",
        )
        .option("--unusual-jobs", "add jobs with many dependencies, tasks or overdue occurrences")
        .option("--shift <ms>", "delay faults and events by this much relative to the leader's timers", "0")
        .option("--log", "print the log lines of sites with a violation")
        .parse();
    const options = program.opts<
        {
            runs: string;
            seed: string;
            shift: string;
            log?: boolean;
            slowStore: boolean;
            hazards: boolean;
            restarts: boolean;
            evacuations: boolean;
            contention: boolean;
            unusualJobs?: boolean;
        }
    >();
    const firstSeed = Number(options.seed);
    let failedSites = 0;
    let wronglyFailedJobs = 0;
    for (let seed = firstSeed; seed < firstSeed + Number(options.runs); seed++) {
        const report = await emulator.runChaos(seed, {
            slowStore: options.slowStore,
            hazards: options.hazards,
            restarts: options.restarts,
            evacuations: options.evacuations,
            contention: options.contention,
            unusualJobs: options.unusualJobs,
            shiftMs: Number(options.shift),
        });
        wronglyFailedJobs += report.wronglyFailedJobs;
        if (report.violations.length === 0) {
            continue;
        }
        failedSites++;
        process.stdout.write(`seed ${seed}: ${report.violations.join("; ")}\n`);
        for (const line of options.log ? report.lines : []) {
            process.stdout.write(`${JSON.stringify(line)}\n`);
        }
    }
    process.stdout.write(
        `${options.runs} sites from seed ${firstSeed}, ${failedSites} with violations; ${wronglyFailedJobs} healthy jobs failed\n`,
    );
    process.exitCode = failedSites > 0 ? 1 : 0;
}

void main();
