/** The commands `standin platform`, `standin worker` and `demo`. */
import * as commander from "commander";
import * as fs from "node:fs";
import * as toml from "smol-toml";
import * as z from "zod";
import * as cli from "../../src/cli/index";
import * as clock from "../../src/clock/index";
import * as configuration from "../../src/configuration/index";
import * as random from "../../src/random/index";
import * as result from "../../src/result/index";
import * as platform from "../platform/index";
import * as site from "../site/index";
import * as worker from "../worker/index";

const platformSchema = z.strictObject({
    listen: z.string().default("127.0.0.1:7000"),
    /** Age of the membership list that readers get. */
    lagMs: z.number().int().min(0).default(2000),
    /** Time after which an entry that is not announced again is removed. */
    expiryMs: z.number().int().min(1).default(5000),
    faults: platform.platformFaultsSchema.partial().default({}),
});

const workerSchema = z.strictObject({
    capacity: configuration.capacitySchema,
    checkpointMs: z.number().int().min(0).default(200),
    /** The workers of this process; each listens on an address of its own. */
    workers: z.array(z.strictObject({ id: z.string(), zone: z.string(), listen: z.string() })).min(1),
    /** Origin of the platform that the workers are announced to; without it they are not announced. */
    platform: z.string().optional(),
    faults: platform.workerFaultsSchema.partial().default({}),
});

interface ConfigOptions {
    readonly config: string;
}

interface DemoCommandOptions extends cli.PrintOptions {
    readonly deployment: site.DeploymentName;
    readonly seconds: number;
    readonly seed: number;
    readonly scale: number;
}

const INCARNATION = 1;

/** Adds the commands of the stand-ins to the program. */
export function register(program: commander.Command): void {
    const standin = program.command("standin").description("stand-ins for the platform and its workers");
    standin.command("platform").description("table service, object store and membership list")
        .requiredOption("--config <file>", "settings").action(runPlatform);
    standin.command("worker").description("one or more workers").requiredOption("--config <file>", "settings").action(
        runWorkers,
    );
    program
        .command("demo")
        .description(
            "runs a whole site under a mixed load in this process and counts violations",
        )
        .addOption(new commander.Option("--deployment <name>").choices(["cedarflue", "breizh"]).default("cedarflue"))
        .option("--seconds <s>", "how long to send load, in seconds", Number, 15)
        .option("--seed <n>", "seed of the random number generator", Number, 1)
        .option("--scale <x>", "multiplies all rates", Number, 1)
        .option("--json", "end with one JSON object")
        .action(runDemo);
}

function readConfig<T>(file: string, schema: z.ZodType<T>): T {
    try {
        return schema.parse(toml.parse(fs.readFileSync(file, "utf8")));
    }
    catch (err) {
        const message = err instanceof z.ZodError
            ? err.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`).join("; ")
            : result.getErrorMessage(err);
        throw new cli.CommandError(result.ResultCode.SettingsInvalid, `${file}: ${message}`);
    }
}

function splitAddress(address: string): { host: string; port: number; } {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

async function runPlatform(options: ConfigOptions): Promise<void> {
    const cfg = readConfig(options.config, platformSchema);
    const { host, port } = splitAddress(cfg.listen);
    const embedded = platform.createEmbeddedPlatform({
        clock: clock.createSystemClock(),
        rng: random.createRandom(1),
        lagMs: cfg.lagMs,
        expiryMs: cfg.expiryMs,
    });
    embedded.setFaults(cfg.faults);
    await platform.startPlatformServer(host, port, embedded);
    cli.print({ standin: "platform", listen: cfg.listen }, { json: true });
}

async function runWorkers(options: ConfigOptions): Promise<void> {
    const cfg = readConfig(options.config, workerSchema);
    const time = clock.createSystemClock();
    const journal = worker.createJournal();
    for (const item of cfg.workers) {
        const faults = worker.createFaultSwitch();
        faults.set(cfg.faults);
        const core = worker.createWorkerCore({
            id: item.id,
            clock: time,
            capacity: cfg.capacity,
            incarnation: INCARNATION,
            journal,
            checkpointMs: cfg.checkpointMs,
            shouldFailTasks: () => faults.get().failTasks,
        });
        const { host, port } = splitAddress(item.listen);
        await worker.startWorkerServer(host, port, {
            clock: time,
            rng: random.createRandom(port),
            core,
            faults,
            journal,
        });
        if (cfg.platform !== undefined) {
            await worker.announceWorker(time, cfg.platform, item);
        }
    }
    cli.print({ standin: "worker", workers: cfg.workers.length }, { json: true });
}

async function runDemo(options: DemoCommandOptions): Promise<void> {
    const summary = await site.runDemo({
        deployment: options.deployment,
        seconds: options.seconds,
        seed: options.seed,
        scale: options.scale,
        onProgress: line => process.stderr.write(`${line}\n`),
    });
    if (options.json) {
        cli.print({ ...summary }, options);
    }
    else {
        const { byClass, refusalCodes, ...totals } = summary;
        cli.print({ ...totals }, options);
        cli.print(Object.entries(byClass).map(([jobClass, item]) => ({ class: jobClass, ...item })), options);
        cli.print(
            Object.entries(refusalCodes).map(([code, count]) => ({
                code,
                name: result.getResultInfo(Number(code)).name,
                count,
            })),
            options,
        );
        process.stdout.write(
            site.hasNoViolations(summary) ? "no violations\n" : "VIOLATIONS FOUND: see the counts above\n",
        );
    }
    // Keep-alive connections of callers would otherwise keep the process running.
    process.exit(site.hasNoViolations(summary) ? 0 : 1);
}
