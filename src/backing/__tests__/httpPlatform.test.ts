import * as http from "node:http";
import type * as net from "node:net";
import * as httpPlatform from "../httpPlatform";

/** The default of the settings. */
const TIMEOUT_MS = 1_000;
const CHUNK_INTERVAL_MS = 100;
const CHUNKS = 15;
const VALUE = "0123456789".repeat(CHUNKS * 2);
const ROWS = JSON.stringify({ rows: [{ key: "k", version: 1, value: VALUE }] });

describe("an answer that takes longer to arrive than the timeout", () => {
    let server: http.Server;
    let platform: ReturnType<typeof httpPlatform.createHttpPlatform>;
    let maxChunks: number;

    beforeEach(async () => {
        maxChunks = CHUNKS;
        server = http.createServer((req, res) => {
            const body = req.method === "GET" ? VALUE : ROWS;
            const chunkBytes = Math.ceil(body.length / CHUNKS);
            let sent = 0;
            const timer = setInterval(() => {
                if (sent < maxChunks) {
                    res.write(body.slice(sent * chunkBytes, (sent + 1) * chunkBytes));
                    sent++;
                }
                if (sent === CHUNKS) {
                    res.end();
                }
            }, CHUNK_INTERVAL_MS);
            res.once("close", () => clearInterval(timer));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
        const { port } = server.address() as net.AddressInfo;
        platform = httpPlatform.createHttpPlatform({
            origin: `http://127.0.0.1:${port}`,
            timeoutMs: TIMEOUT_MS,
            connections: 1,
        });
    });
    afterEach(async () => {
        await platform.close();
        server.closeAllConnections();
        await new Promise<void>(resolve => server.close(() => resolve()));
    });

    interface Case {
        readonly name: string;
        /** Resolves to the value, or to the kind of an answer without a value. */
        read(): Promise<string>;
    }
    const cases: readonly Case[] = [
        {
            name: "an object",
            read: async () => {
                const read = await platform.objects.get("document");
                return read.kind === "found" ? Buffer.from(read.body).toString() : read.kind;
            },
        },
        {
            name: "a row",
            read: async () => {
                const read = await platform.table.get(["k"]);
                return read.kind === "read" ? read.value[0]?.value ?? "absent" : read.kind;
            },
        },
        {
            name: "a range of rows",
            read: async () => {
                const read = await platform.table.scan("k", "", 1);
                return read.kind === "read" ? read.value[0]?.value ?? "absent" : read.kind;
            },
        },
    ];

    // Guards against a timeout on the whole answer: with it, an instance on a slow link aborts and repeats the read of
    // a large configuration forever, because the document takes longer to arrive than the timeout.
    test.each(cases)("is read completely while data keeps arriving: $name", async ({ read }) => {
        expect(await read()).toBe(VALUE);
    });

    test.each(cases)("is reported as unavailable when data stops arriving: $name", async ({ read }) => {
        maxChunks = 5;
        expect(await read()).toBe("unavailable");
    });

    test.each(cases)("is reported as unavailable when no data arrives: $name", async ({ read }) => {
        maxChunks = 0;
        expect(await read()).toBe("unavailable");
    });
});
