import * as net from "node:net";
import * as clocks from "../../clock/index";
import * as blockPool from "../blockPool";
import * as blockQueue from "../blockQueue";
import * as inbounds from "../index";
import * as requestSlots from "../requestSlots";
import * as fixtures from "./fixtures";

const BODY_BYTES = 1_000;
/** Less than the time that a test may take. */
const MAX_CHECKS = 4_000;

interface Opened {
    readonly port: number;
    /** Requests that have begun and were not answered. */
    readonly begun: inbounds.Exchange[];
    /** How many requests have arrived, without their bodies. */
    getArrived(): number;
    close(): Promise<void>;
}

/** A server that reads each body and answers with it, at once or when the test does. */
async function open(answersAtOnce: boolean, limits = fixtures.LIMITS): Promise<Opened> {
    const inbound = fixtures.createInbound(clocks.createSystemClock(), limits);
    const begun: inbounds.Exchange[] = [];
    let arrived = 0;
    const server = inbound.createHttpServer({ name: "callers" }, exchange => {
        arrived++;
        void exchange.readBody(BODY_BYTES).then(body => {
            if (body.kind === "tooLong") {
                exchange.reject(413);
            }
            else if (answersAtOnce && body.kind === "read") {
                exchange.res.end(body.text);
            }
            else {
                begun.push(exchange);
            }
        });
    });
    return {
        port: await inbound.listen("callers", server, "127.0.0.1:0"),
        begun,
        getArrived: () => arrived,
        close: async () => {
            const closed = new Promise(resolve => server.close(resolve));
            server.closeAllConnections();
            await closed;
            inbound.close();
        },
    };
}

function connect(port: number): { socket: net.Socket; getText(): string; closed: Promise<void>; } {
    const socket = net.connect(port, "127.0.0.1");
    let text = "";
    socket.on("data", chunk => {
        text += String(chunk);
    });
    socket.on("error", () => undefined);
    const closed = new Promise<void>(resolve => socket.once("close", () => resolve()));
    return { socket, getText: () => text, closed };
}

async function waitUntil(isMet: () => boolean): Promise<void> {
    for (let checks = 0; !isMet(); checks++) {
        if (checks === MAX_CHECKS) {
            throw new Error("not met in time");
        }
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

const GET = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

describe("an HTTP server within the budget", () => {
    const rejected: ReadonlyArray<readonly [name: string, text: string, rest: string, status: number]> = [
        ["a request without a host", "GET / HTTP/1.1\r\n\r\n", GET, 400],
        [
            "a body that is stated to be too long",
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n",
            "x",
            413,
        ],
        [
            "a body that becomes too long",
            `POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n${"x".repeat(1_001)}\r\n`,
            "1\r\nx\r\n",
            413,
        ],
    ];
    test.each(rejected)("rejects %s at once and takes no more from its client", async (_name, text, rest, status) => {
        const server = await open(true);
        const { socket, getText, closed } = connect(server.port);
        socket.write(text + rest.repeat(100));
        await closed;
        await server.close();
        expect(getText().match(/HTTP\/1\.1 \d+/g)).toEqual([`HTTP/1.1 ${status}`]);
    });

    test.each([1, 7, 100, 2_000])("reads requests that arrive %i bytes at a time", async pieceBytes => {
        const server = await open(true);
        const { socket, getText } = connect(server.port);
        const body = "\u00e9".repeat(500);
        const text = Buffer.from(`POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n${body}`.repeat(3));
        for (let start = 0; start < text.length; start += pieceBytes) {
            socket.write(text.subarray(start, start + pieceBytes));
        }
        await waitUntil(() => getText().split(body).length === 4);
        socket.destroy();
        await server.close();
    });

    // Guards against one client that occupies the process with requests sent ahead.
    test("begins only some of the requests that a client sends ahead, and all in time", async () => {
        const server = await open(false);
        const { socket, getText } = connect(server.port);
        socket.write(GET.repeat(200));
        await waitUntil(() => server.begun.length > 0);
        // Within one slice there may be more requests than are taken at a time.
        expect(server.begun.length).toBeLessThanOrEqual(30);
        for (let answered = 0; answered < 200; answered++) {
            await waitUntil(() => server.begun.length > 0);
            server.begun.shift()!.res.end("answer");
        }
        await waitUntil(() => getText().match(/HTTP\/1\.1 200/g)?.length === 200);
        socket.destroy();
        await server.close();
    });

    // Guards against bodies that are never read since as many requests as are taken at a time have begun.
    test("reads the bodies of many requests at once", async () => {
        const server = await open(true);
        const clients = Array.from({ length: 100 }, () => connect(server.port));
        const head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n";
        clients.forEach(({ socket }) => socket.write(head));
        await waitUntil(() => server.getArrived() === clients.length);
        clients.forEach(({ socket }) => socket.write("x".repeat(900)));
        await waitUntil(() => clients.every(({ getText }) => getText().endsWith("x".repeat(900))));
        clients.forEach(({ socket }) => socket.destroy());
        await server.close();
    });

    // Guards against clients that lock others out by requests that they do not complete.
    test("refuses the unfinished requests of others when there is no room for another", async () => {
        const limits = { ...fixtures.LIMITS, memoryBytes: 120_000 };
        const server = await open(true, limits);
        const head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
        const unfinished = Array.from({ length: 10 }, () => connect(server.port));
        unfinished.forEach(({ socket }) => socket.write(`${head}3\r\nabc\r\n`));
        await waitUntil(() => unfinished.some(({ getText }) => getText() !== ""));
        const { socket, getText } = connect(server.port);
        socket.write(`${head}3\r\nabc\r\n0\r\n\r\n`);
        await waitUntil(() => getText().includes("abc"));
        expect(unfinished.map(client => client.getText()).find(text => text !== "")).toMatch(
            /^HTTP\/1.1 503[\s\S]*Retry-After: 1\r\n/,
        );
        [socket, ...unfinished.map(client => client.socket)].forEach(open => open.destroy());
        await server.close();
    });
});

describe("slots of requests", () => {
    // Guards against requests of clients that have gone, which would take the store from those who wait.
    test("carry out so many at a time, in order, and none that nobody waits for", async () => {
        const slots = requestSlots.createRequestSlots(2);
        const begun: number[] = [];
        const ends: Array<() => void> = [];
        const runs = Array.from({ length: 6 }, (_, number) =>
            slots.run(() => number !== 3, () => {
                begun.push(number);
                return new Promise(resolve => ends.push(resolve));
            }));
        const settle = () => new Promise(resolve => setImmediate(resolve));
        await settle();
        expect(begun).toEqual([0, 1]);
        ends.shift()!();
        await settle();
        expect(begun).toEqual([0, 1, 2]);
        for (let end = ends.shift(); end; end = ends.shift()) {
            end();
            await settle();
        }
        await Promise.all(runs);
        expect(begun).toEqual([0, 1, 2, 4, 5]);
    });
});

describe("a queue of blocks", () => {
    test.each([[1, 1], [3, 5_000], [10_000, 512], [4_096, 4_096]])(
        "returns what was added, in order: %i bytes at a time, up to %i taken",
        (pieceBytes, takenBytes) => {
            const queue = blockQueue.createBlockQueue(blockPool.createBlockPool());
            const bytes = Buffer.from(Array.from({ length: 20_000 }, (_, n) => (n * 31) % 251));
            const taken: Buffer[] = [];
            for (let start = 0; start < bytes.length; start += pieceBytes) {
                queue.add(bytes.subarray(start, start + pieceBytes));
                if (start % 3 === 0) {
                    taken.push(queue.take(takenBytes)!);
                }
            }
            for (let slice = queue.take(takenBytes); slice; slice = queue.take(takenBytes)) {
                taken.push(slice);
            }
            expect(Buffer.concat(taken).equals(bytes)).toBe(true);
            expect(queue.getHeldBytes()).toBe(0);
        },
    );
});
