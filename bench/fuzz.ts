/** Plays random sites until the runs are over: `npm run fuzz -- --runs 500 --seed 1`. Exits with 1 if a promise broke. */
import * as commander from "commander";
import * as emulator from "../src/emulator/index";

async function main(): Promise<void> {
    const program = new commander.Command("fuzz")
        .option("--runs <count>", "how many random sites to play", "200")
        .option("--seed <number>", "seed of the first; each next has one more", "1")
        .option("--no-slow-store", "leave out the spells in which the store is slow")
        .option(
            "--no-hazards",
            "leave out tasks that take workers down, workers that crash, and capacities that change",
        )
        .option("--no-restarts", "leave out workers that start again under their ids")
        .option("--shift <ms>", "play faults and events this much later against the leader's timers", "0")
        .option("--log", "print the log lines of sites that broke a promise")
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
        }
    >();
    const first = Number(options.seed);
    let broken = 0;
    let soundGivenUp = 0;
    for (let seed = first; seed < first + Number(options.runs); seed++) {
        const report = await emulator.runChaos(seed, {
            slowStore: options.slowStore,
            hazards: options.hazards,
            restarts: options.restarts,
            shiftMs: Number(options.shift),
        });
        soundGivenUp += report.wronglyFailedJobs;
        if (report.violations.length === 0) {
            continue;
        }
        broken++;
        process.stdout.write(`seed ${seed}: ${report.violations.join("; ")}\n`);
        for (const line of options.log ? report.lines : []) {
            process.stdout.write(`${JSON.stringify(line)}\n`);
        }
    }
    process.stdout.write(
        `${options.runs} sites from seed ${first}, ${broken} with a broken promise; ${soundGivenUp} sound jobs given up\n`,
    );
    process.exitCode = broken > 0 ? 1 : 0;
}

void main();
