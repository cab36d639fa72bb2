/** Crowds of clients that do not behave, each against a process of its own. Run one after the other: `npm run exhaustion`. */
import * as crowds from "../crowd";
import * as exchanges from "../exchange";
import * as underTest from "../instanceUnderTest";

/** The machine of the deploy file at half its size. */
const LIMITS: underTest.MachineLimits = { memoryMb: 175, heapMb: 80, descriptors: 512 };
const BYTES_PER_MB = 1_000_000;
const TEST_TIMEOUT_MS = 120_000;

type Server = "callers" | "readiness" | "peers" | "watch" | "metrics";
type CrowdCase = readonly [
    name: string,
    crowd: { readonly server: Server; readonly connections: number; readonly pieces: readonly Buffer[]; },
];

const JOB_PATH = exchanges.getJobPath(1);
const JOB_BODY = JSON.stringify(exchanges.JOB);

/** A chunked request whose body lacks its last chunk. */
function unfinishedBody(path: string, chunkBytes: number, chunks: number): readonly Buffer[] {
    return split(
        Buffer.from(exchanges.encodeChunkedHead(path) + exchanges.encodeChunk("x".repeat(chunkBytes)).repeat(chunks)),
    );
}

function ahead(request: string, count: number): readonly Buffer[] {
    return split(Buffer.from(request.repeat(count)));
}

function split(bytes: Buffer): readonly Buffer[] {
    const pieceBytes = 16_384;
    return Array.from(
        { length: Math.ceil(bytes.length / pieceBytes) },
        (_, piece) => bytes.subarray(piece * pieceBytes, (piece + 1) * pieceBytes),
    );
}

/** Headers of a few bytes each, without the empty line that ends them. */
const UNFINISHED_HEADERS = split(
    Buffer.from(`GET / HTTP/1.1\r\n${Array.from({ length: 8_000 }, (_, n) => `${n.toString(36)}:1\r\n`).join("")}`),
);
const GET_WITHOUT_HOST = "GET / HTTP/1.1\r\n\r\n";
const GET_READY = "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n";
const LARGEST_JOB = JSON.stringify({ spec: "x".repeat(underTest.REQUEST_LIMITS.bodyBytes - 40) });
const GET_STATE = `GET ${JOB_PATH} HTTP/1.1\r\n${exchanges.AUTHORIZED}\r\n`;
const FORWARDED_QUERY = exchanges.encodePost(
    "/request",
    JSON.stringify({
        request: {
            method: "GET",
            path: JOB_PATH,
            host: underTest.QUEUE.host,
            authorization: `Token ${underTest.KEY}`,
            requestId: "",
            deadlineMs: 600,
            body: "",
        },
        leastVersion: 0,
    }),
);

const CROWDS: readonly CrowdCase[] = [
    ["bodies in large chunks that stop short of their end", {
        server: "callers",
        connections: 600,
        pieces: unfinishedBody(JOB_PATH, 65_000, 4),
    }],
    ["bodies in chunks of one byte that stop short of their end", {
        server: "callers",
        connections: 150,
        pieces: unfinishedBody(JOB_PATH, 1, 40_000),
    }],
    ["bodies of known length that stop short of their end", {
        server: "callers",
        connections: 600,
        pieces: split(Buffer.from(exchanges.encodePost(JOB_PATH, LARGEST_JOB).slice(0, -1))),
    }],
    ["requests ahead that expect to be told to continue", {
        server: "callers",
        connections: 200,
        pieces: ahead(exchanges.encodePost(JOB_PATH, JOB_BODY, "Expect: 100-continue\r\n"), 2_000),
    }],
    ["requests ahead without a host", {
        server: "callers",
        connections: 300,
        pieces: ahead(GET_WITHOUT_HOST, 8_000),
    }],
    ["readiness checks ahead", { server: "readiness", connections: 200, pieces: ahead(GET_READY, 8_000) }],
    ["readiness checks ahead without a host", {
        server: "readiness",
        connections: 300,
        pieces: ahead(GET_WITHOUT_HOST, 8_000),
    }],
    ["submissions ahead", {
        server: "callers",
        connections: 200,
        pieces: ahead(exchanges.encodePost(JOB_PATH, JOB_BODY), 2_000),
    }],
    ["largest submissions ahead", {
        server: "callers",
        connections: 400,
        pieces: ahead(exchanges.encodePost(JOB_PATH, LARGEST_JOB), 4),
    }],
    ["queries ahead", { server: "callers", connections: 200, pieces: ahead(GET_STATE, 2_000) }],
    ["unfinished headers", { server: "callers", connections: 600, pieces: UNFINISHED_HEADERS }],
    ["calls between instances that stop short of their end", {
        server: "peers",
        connections: 300,
        pieces: unfinishedBody("/request", 65_000, 16),
    }],
    ["calls between instances ahead", { server: "peers", connections: 200, pieces: ahead(FORWARDED_QUERY, 2_000) }],
    ["reads of the metrics ahead", { server: "metrics", connections: 200, pieces: ahead(GET_READY, 8_000) }],
    ...(["callers", "readiness", "peers", "watch", "metrics"] as const).map((server): CrowdCase => [
        `silent connections to ${server}`,
        { server, connections: 600, pieces: [] },
    ]),
];

let current: underTest.InstanceUnderTest | undefined;
afterEach(async () => {
    await current?.close();
    current = undefined;
});

describe("a process under a crowd of clients", () => {
    // Guards against clients that end a process, exceed its machine's limits, or keep others from being answered.
    test.each(CROWDS)("lives, keeps its limits and serves others: %s", async (name, { server, ...crowd }) => {
        current = await underTest.startInstance(LIMITS);
        const running = crowds.startCrowd({ address: getAddress(current, server), ...crowd });
        await running.settled;
        const duringCrowd = await exchanges.submitJob(current.instance.callerAddress, 161);
        running.close();
        const afterCrowd = await exchanges.submitJob(current.instance.callerAddress, 162);
        const usage = current.getPeakUsage();
        process.stderr.write(`${JSON.stringify({ name, duringCrowd, afterCrowd, ...usage })}\n`);
        expect(current.isAlive()).toBe(true);
        expect(usage.memoryBytes).toBeLessThanOrEqual(LIMITS.memoryMb * BYTES_PER_MB);
        expect(usage.descriptors).toBeLessThanOrEqual(LIMITS.descriptors);
        expect([duringCrowd, afterCrowd]).toEqual([[200], [200]]);
    }, TEST_TIMEOUT_MS);
});

function getAddress({ instance, metricsAddress }: underTest.InstanceUnderTest, server: Server): string {
    switch (server) {
        case "callers":
            return instance.callerAddress;
        case "readiness":
            return instance.readinessAddress;
        case "peers":
            return instance.peersAddress;
        case "watch":
            return instance.watchAddress;
        case "metrics":
            return metricsAddress;
    }
}
