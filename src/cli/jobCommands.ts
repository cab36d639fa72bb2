/** The commands `job submit|status|cancel|result`: calls of the callers' HTTP interface. */
import * as commander from "commander";
import * as fs from "node:fs";
import * as output from "./output";
import * as siteClient from "./siteClient";

interface CallerOptions extends output.PrintOptions {
    readonly url: string;
    readonly key?: string;
}

interface SubmitOptions extends CallerOptions {
    readonly class: string;
    readonly id?: string;
    readonly accelerators?: number;
    readonly adjacency: string;
    readonly declaredMs?: number;
    readonly deadlineMs?: number;
    readonly once?: boolean;
    readonly payload?: string;
    readonly payloadFile?: string;
    readonly wait?: number;
}

interface WaitOptions extends CallerOptions {
    readonly wait?: number;
}

const DEFAULT_URL = "http://127.0.0.1:7101";
/** Environment variable that holds the key of the client account. */
export const KEY_ENV_VARIABLE = "PLANTAINCHUTE_KEY";

/** Registers the commands of `job`. */
export function register(program: commander.Command): void {
    const job = program.command("job").description("a caller's jobs");
    withCaller(job.command("submit"))
        .description("submit a job, or send an interactive request and print its answer")
        .addOption(
            new commander.Option("--class <class>", "class").choices(["interactive", "urgent", "batch"]).default(
                "batch",
            ),
        )
        .option("--id <requestId>", "idempotency key")
        .option("--accelerators <n>", "accelerators", parseNonNegativeNumber)
        .addOption(
            new commander.Option("--adjacency <kind>", "how close the accelerators must be")
                .choices(["any", "worker", "rack", "adjacentRacks"])
                .default("any"),
        )
        .option("--declared-ms <ms>", "expected run time", parseNonNegativeNumber)
        .option(
            "--deadline-ms <ms>",
            "time after which the start (interactive: the answer) is useless",
            parseNonNegativeNumber,
        )
        .option("--once", "may run at most once")
        .option("--payload <text>", "payload for the worker")
        .option("--payload-file <file>", "read the payload from a file")
        .option("--wait <ms>", "wait for the end", parseNonNegativeNumber)
        .action(async (options: SubmitOptions) => {
            const answer = await createClient(options).call(
                "POST",
                withWait("/v1/jobs", options.wait),
                createBody(options),
            );
            printAnswer(answer, options);
        });
    withCaller(job.command("status"))
        .description("show a job")
        .argument("<requestId>")
        .option("--wait <ms>", "wait for the end", parseNonNegativeNumber)
        .action(async (requestId: string, options: WaitOptions) => {
            printAnswer(await createClient(options).call("GET", withWait(getPath(requestId), options.wait)), options);
        });
    withCaller(job.command("cancel"))
        .description("cancel a job")
        .argument("<requestId>")
        .action(async (requestId: string, options: CallerOptions) => {
            printAnswer(await createClient(options).call("DELETE", getPath(requestId)), options);
        });
    withCaller(job.command("result"))
        .description("print the result of a job that is done")
        .argument("<requestId>")
        .action(async (requestId: string, options: CallerOptions) => {
            printAnswer(await createClient(options).call("GET", `${getPath(requestId)}/result`), options);
        });
}

function withCaller(command: commander.Command): commander.Command {
    return command
        .option("--url <origin>", "callers' address of an entry", DEFAULT_URL)
        .option("--key <key>", `the client account's key (default: the variable ${KEY_ENV_VARIABLE})`)
        .option("--json", "one JSON document");
}

function createClient(options: CallerOptions): siteClient.SiteClient {
    return siteClient.createSiteClient(options.url, options.key ?? process.env[KEY_ENV_VARIABLE] ?? "");
}

function createBody(options: SubmitOptions): Record<string, unknown> {
    const payload = options.payloadFile === undefined ? options.payload : fs.readFileSync(options.payloadFile, "utf8");
    return {
        requestId: options.id,
        class: options.class,
        accelerators: options.accelerators,
        adjacency: options.adjacency,
        declaredMs: options.declaredMs,
        deadlineMs: options.deadlineMs,
        repeatable: !options.once,
        payload,
    };
}

/** Prints a job, or writes the bytes of an answer unchanged. */
function printAnswer(answer: unknown, options: output.PrintOptions): void {
    if (answer instanceof Uint8Array) {
        process.stdout.write(answer);
        process.stdout.write("\n");
        return;
    }
    output.print(answer as Record<string, unknown>, options);
}

function getPath(requestId: string): string {
    return `/v1/jobs/${encodeURIComponent(requestId)}`;
}

function withWait(path: string, waitMs: number | undefined): string {
    return waitMs === undefined ? path : `${path}?waitMs=${waitMs}`;
}

/** Parser of option values; fractions are accepted. */
export function parseNonNegativeNumber(text: string): number {
    const value = Number(text);
    if (!Number.isFinite(value) || value < 0) {
        throw new commander.InvalidArgumentError("expected a non-negative number");
    }
    return value;
}
