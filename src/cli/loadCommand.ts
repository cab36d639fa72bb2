/** The command `load`. */
import * as commander from "commander";
import * as async from "../async/index";
import * as clock from "../clock/index";
import * as load from "../load/index";
import * as random from "../random/index";
import * as jobCommands from "./jobCommands";
import * as output from "./output";

interface LoadCommandOptions extends output.PrintOptions {
    readonly urls: string;
    readonly key?: string;
    readonly account: string;
    readonly class: load.LoadStream["jobClass"];
    readonly rate: number;
    readonly burst: number;
    readonly accelerators: string;
    readonly adjacency: load.LoadStream["adjacency"];
    readonly runMs: number;
    readonly declaredFactor: number;
    readonly deadlineMs?: number;
    readonly once?: boolean;
    readonly duplicates: number;
    readonly cancellations: number;
    readonly seconds: number;
    readonly patienceSeconds: number;
    readonly seed: number;
}

/** Registers `load`, which sends one stream of requests to a running site and prints a summary. */
export function register(program: commander.Command): void {
    program
        .command("load")
        .description("send a stream of requests to a running site; start several processes for a mix")
        .option("--urls <origins>", "callers' addresses of the entries, comma-separated", "http://127.0.0.1:7101")
        .option("--key <key>", `the client account's key (default: the variable ${jobCommands.KEY_ENV_VARIABLE})`)
        .option("--account <name>", "name shown in the summary", "account")
        .addOption(
            new commander.Option("--class <class>", "class").choices(["interactive", "urgent", "batch"]).default(
                "interactive",
            ),
        )
        .option("--rate <n>", "requests a second", jobCommands.parseNonNegativeNumber, 10)
        .option("--burst <n>", "requests that arrive together", jobCommands.parseNonNegativeNumber, 1)
        .option(
            "--accelerators <list>",
            "sizes to choose from, comma-separated; more than a worker has makes a gang",
            "1",
        )
        .addOption(
            new commander.Option("--adjacency <kind>", "adjacency").choices(["any", "worker", "rack", "adjacentRacks"])
                .default("any"),
        )
        .option("--run-ms <ms>", "mean run time of the work", jobCommands.parseNonNegativeNumber, 10)
        .option(
            "--declared-factor <x>",
            "declared run time divided by the actual one",
            jobCommands.parseNonNegativeNumber,
            1,
        )
        .option("--deadline-ms <ms>", "deadline", jobCommands.parseNonNegativeNumber)
        .option("--once", "work that may run at most once")
        .option(
            "--duplicates <share>",
            "share submitted twice under one request id",
            jobCommands.parseNonNegativeNumber,
            0,
        )
        .option("--cancellations <share>", "share of jobs that are cancelled", jobCommands.parseNonNegativeNumber, 0)
        .option("--seconds <s>", "how long to send", jobCommands.parseNonNegativeNumber, 10)
        .option("--patience-seconds <s>", "how long to wait for outcomes", jobCommands.parseNonNegativeNumber, 60)
        .option("--seed <n>", "seed of the random numbers", jobCommands.parseNonNegativeNumber, 1)
        .option("--json", "one JSON document")
        .action(runLoad);
}

async function runLoad(options: LoadCommandOptions): Promise<void> {
    const time = clock.createSystemClock();
    const rng = random.createRandom(options.seed);
    const urls = options.urls.split(",");
    const client = load.createCallersClient(() => rng.pick(urls), 64);
    const log = load.createCallerLog();
    const runner = load.createLoad({ clock: time, rng, client, log, patienceMs: options.patienceSeconds * 1000 });
    const stopped = async.createAbortController();
    const stream: load.LoadStream = {
        account: options.account,
        key: options.key ?? process.env[jobCommands.KEY_ENV_VARIABLE] ?? "",
        jobClass: options.class,
        perSecond: options.rate,
        burst: options.burst,
        accelerators: options.accelerators.split(",").map(Number),
        adjacency: options.adjacency,
        repeatable: !options.once,
        runMs: options.runMs,
        declaredFactor: options.declaredFactor,
        deadlineMs: options.deadlineMs,
        duplicates: options.duplicates,
        cancellations: options.cancellations,
    };
    time.setTimer(options.seconds * 1000, () => stopped.abort());
    await runner.run([stream], stopped.signal);
    await client.close();
    const { byClass, refusalCodes, ...totals } = log.summarize();
    if (options.json) {
        output.print({ ...totals, byClass, refusalCodes }, options);
        return;
    }
    output.print(totals, options);
    output.writeLine("");
    output.print(Object.entries(byClass).map(([jobClass, item]) => ({ jobClass, ...item })), options);
    output.writeLine("");
    output.print(Object.entries(refusalCodes).map(([code, count]) => ({ code, count })), options);
}
