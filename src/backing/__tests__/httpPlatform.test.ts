import * as http from "node:http";
import type * as net from "node:net";
import * as httpPlatform from "../httpPlatform";

/** As the settings have it unless they say otherwise. */
const TIMEOUT_MS = 1_000;
const PIECE_EVERY_MS = 100;
const PIECES = 15;
const VALUE = "0123456789".repeat(PIECES * 2);
const ROWS = JSON.stringify({ rows: [{ key: "k", version: 1, value: VALUE }] });

describe("an answer that takes longer to arrive than a call may be silent", () => {
    let server: http.Server;
    let platform: ReturnType<typeof httpPlatform.createHttpPlatform>;
    let sentPieces: number;

    beforeEach(async () => {
        sentPieces = PIECES;
        server = http.createServer((req, res) => {
            const body = req.method === "GET" ? VALUE : ROWS;
            const pieceBytes = Math.ceil(body.length / PIECES);
            let sent = 0;
            const timer = setInterval(() => {
                if (sent < sentPieces) {
                    res.write(body.slice(sent * pieceBytes, (sent + 1) * pieceBytes));
                    sent++;
                }
                if (sent === PIECES) {
                    res.end();
                }
            }, PIECE_EVERY_MS);
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
        /** The value, or the kind of an answer without one. */
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
            name: "rows of a range",
            read: async () => {
                const read = await platform.table.scan("k", "", 1);
                return read.kind === "read" ? read.value[0]?.value ?? "absent" : read.kind;
            },
        },
    ];

    // Symptom: an instance on a weak link never puts a configuration in force that has grown, and reads it for ever.
    // Sequence: its document takes longer to arrive than a call's timeout. Cause: the timeout bounded the whole answer.
    test.each(cases)("is read while it keeps coming: $name", async ({ read }) => {
        expect(await read()).toBe(VALUE);
    });

    test.each(cases)("is given up when nothing more comes: $name", async ({ read }) => {
        sentPieces = 5;
        expect(await read()).toBe("unavailable");
    });

    test.each(cases)("is given up when it does not begin: $name", async ({ read }) => {
        sentPieces = 0;
        expect(await read()).toBe("unavailable");
    });
});
