/** Requests at the edge of the limits that the configuration states, on a machine as the deploy file has it. */
import * as exchanges from "../exchange";
import * as underTest from "../instanceUnderTest";

const LIMITS: underTest.MachineLimits = { memoryMb: 350, heapMb: 160, descriptors: 4_100 };
const TEST_TIMEOUT_MS = 60_000;
const ACCEPTED = 200;
const UNKNOWN_JOB = 410;
const SLOW_BODY_MS = 2_000;

/** A valid job that is exactly as long as the largest body. */
const LARGEST_BODY = padJob(underTest.REQUEST_LIMITS.bodyBytes);

function padJob(bytes: number): string {
    const unpadded = JSON.stringify({ ...exchanges.JOB, padding: "" });
    return JSON.stringify({ ...exchanges.JOB, padding: "x".repeat(bytes - unpadded.length) });
}

function encodeChunked(path: string, body: string, chunkBytes: number): string {
    const chunks = Array.from(
        { length: Math.ceil(body.length / chunkBytes) },
        (_, n) => exchanges.encodeChunk(body.slice(n * chunkBytes, (n + 1) * chunkBytes)),
    );
    return `${exchanges.encodeChunkedHead(path)}${chunks.join("")}0\r\n\r\n`;
}

function repeat<T>(count: number, create: (number: number) => T): T[] {
    return Array.from({ length: count }, (_, number) => create(number));
}

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** Sends the text on one connection and returns the statuses of `count` answers. */
async function send(address: string, text: string, count = 1): Promise<readonly number[]> {
    const exchange = exchanges.openExchange(address);
    exchange.socket.write(text);
    const statuses = await exchange.getStatuses(count);
    exchange.socket.destroy();
    return statuses;
}

async function sendAfterIdling(address: string): Promise<readonly number[]> {
    const exchange = exchanges.openExchange(address);
    exchange.socket.write(exchanges.encodePost(exchanges.getJobPath(1), JSON.stringify(exchanges.JOB)));
    await exchange.getStatuses(1);
    await sleep(10_000);
    exchange.socket.write(exchanges.encodePost(exchanges.getJobPath(2), JSON.stringify(exchanges.JOB)));
    const statuses = await exchange.getStatuses(2);
    exchange.socket.destroy();
    return statuses;
}

/** Sends a body over `SLOW_BODY_MS`. A timer that fires late does not prolong it: the deadline leaves another second. */
async function sendSlowly(address: string): Promise<readonly number[]> {
    const exchange = exchanges.openExchange(address);
    const body = JSON.stringify(exchanges.JOB);
    const startedAt = performance.now();
    exchange.socket.write(exchanges.encodeChunkedHead(exchanges.getJobPath(1)));
    for (let sent = 0; sent < body.length; sent++) {
        exchange.socket.write(exchanges.encodeChunk(body[sent]!));
        await sleep(startedAt + (sent + 1) * SLOW_BODY_MS / body.length - performance.now());
    }
    exchange.socket.write("0\r\n\r\n");
    const statuses = await exchange.getStatuses(1);
    exchange.socket.destroy();
    return statuses;
}

const JOB_TEXT = JSON.stringify(exchanges.JOB);
const QUERY = `GET ${exchanges.getJobPath(0)} HTTP/1.1\r\n${exchanges.AUTHORIZED}\r\n`;
const SUBMISSIONS = repeat(16, number => exchanges.encodePost(exchanges.getJobPath(number + 1), JOB_TEXT)).join("");

type CalmCase = readonly [
    name: string,
    run: (address: string) => Promise<ReadonlyArray<readonly number[]>>,
    expected: ReadonlyArray<readonly number[]>,
];

const CASES: readonly CalmCase[] = [
    ...[underTest.REQUEST_LIMITS.bodyBytes, 1_000, 1].map((chunkBytes): CalmCase => [
        `the largest body in chunks of ${chunkBytes} bytes`,
        async address => [await send(address, encodeChunked(exchanges.getJobPath(1), LARGEST_BODY, chunkBytes))],
        [[ACCEPTED]],
    ]),
    ["the largest body with its length", async address => [
        await send(address, exchanges.encodePost(exchanges.getJobPath(1), LARGEST_BODY)),
    ], [[ACCEPTED]]],
    ["headers of nearly the largest size", async address => [
        await send(
            address,
            exchanges.encodePost(
                exchanges.getJobPath(1),
                JOB_TEXT,
                `Padding: ${"x".repeat(underTest.REQUEST_LIMITS.headerBytes - 400)}\r\n`,
            ),
        ),
    ], [[ACCEPTED]]],
    ["queries and submissions sent ahead on one connection", async address => [
        await send(address, QUERY.repeat(64) + SUBMISSIONS, 80),
    ], [[...repeat(64, () => UNKNOWN_JOB), ...repeat(16, () => ACCEPTED)]]],
    ["a connection that was idle for 10 s", async address => [await sendAfterIdling(address)], [[ACCEPTED, ACCEPTED]]],
    [
        "300 connections at once",
        address => Promise.all(repeat(300, number => exchanges.submitJob(address, number))),
        repeat(300, () => [ACCEPTED]),
    ],
    [
        "20 of the largest bodies at once",
        address =>
            Promise.all(
                repeat(20, number => send(address, exchanges.encodePost(exchanges.getJobPath(number), LARGEST_BODY))),
            ),
        repeat(20, () => [ACCEPTED]),
    ],
    ["a body that takes 2 s to arrive", async address => [await sendSlowly(address)], [[ACCEPTED]]],
];

let current: underTest.InstanceUnderTest | undefined;
afterEach(async () => {
    await current?.close();
    current = undefined;
});

describe("a process in calm", () => {
    // Guards against limits that refuse callers who keep to what the configuration allows.
    test.each(CASES)("serves %s", async (_name, run, expected) => {
        current = await underTest.startInstance(LIMITS);
        expect(await run(current.instance.callerAddress)).toEqual(expected);
    }, TEST_TIMEOUT_MS);
});
