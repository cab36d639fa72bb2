import * as net from "node:net";
import * as links from "../link";

interface Echo {
    readonly server: net.Server;
    readonly address: string;
    readonly received: readonly string[];
    readonly sockets: readonly net.Socket[];
}

/** Creates a server that echoes what it receives. */
async function createEcho(): Promise<Echo> {
    const received: string[] = [];
    const sockets: net.Socket[] = [];
    const server = net.createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => socket.destroy());
        socket.on("data", chunk => {
            received.push(String(chunk));
            socket.write(chunk);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
    return { server, address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, received, sockets };
}

/** A port below the system's range for outgoing connections, so that no such connection takes it. */
const PORT = 21_873;

describe("a link", () => {
    let echo: Echo;
    let link: links.Link;
    let client: net.Socket;
    let answers: string;
    let closed: Promise<void>;

    beforeEach(async () => {
        echo = await createEcho();
        link = await links.createLink({ listen: `127.0.0.1:${PORT}`, target: echo.address });
        client = net.connect(PORT, "127.0.0.1");
        answers = "";
        client.on("data", chunk => {
            answers += String(chunk);
        });
        client.on("error", () => client.destroy());
        closed = new Promise(resolve => client.once("close", () => resolve()));
        await new Promise<void>(resolve => client.once("connect", () => resolve()));
        // One round trip shows that both directions are connected.
        client.write("0");
        await waitUntil(() => answers === "0");
    });
    afterEach(async () => {
        client.destroy();
        link.close();
        echo.sockets.forEach(socket => socket.destroy());
        await new Promise<void>(resolve => echo.server.close(() => resolve()));
    });

    test("with a delay delivers all bytes", async () => {
        // Timers and the time of day are rounded differently, so the timer of the last bytes can fire up to a
        // millisecond before they are due. Unless it is set again, the bytes are stuck until more arrive: a call gets
        // no answer, and a soak run reports a violation that did not happen.
        link.setDelay(1);
        for (let number = 0; number < 1_000; number++) {
            const arrived = new Promise<void>(resolve => client.once("data", () => resolve()));
            client.write("x");
            await arrived;
        }
        expect(answers).toHaveLength(1_001);
    });

    test("of low bandwidth delivers bytes gradually, and all of them in order", async () => {
        link.setRate(1_000_000);
        const text = "x".repeat(100_000) + "end";
        const pieces: number[] = [];
        client.on("data", chunk => void pieces.push(chunk.length));
        client.write(text);
        await waitUntil(() => answers.endsWith("end"));
        expect(answers).toBe(`0${text}`);
        expect(pieces.length).toBeGreaterThan(3);
    });

    const cases: ReadonlyArray<{ state: links.LinkState; arrives: boolean; }> = [
        { state: "requestsHeld", arrives: false },
        { state: "silent", arrives: false },
        { state: "answersHeld", arrives: true },
    ];
    test.each(cases)(
        "in state $state holds its bytes, and delivers them in order when it is open again",
        async item => {
            link.setState(item.state);
            client.write("1");
            if (item.arrives) {
                await waitUntil(() => echo.received.join("") === "01");
            }
            client.write("2");
            await waitForDelivery();
            expect(answers).toBe("0");
            expect(echo.received.join("").startsWith("01")).toBe(item.arrives);
            link.setState("open");
            await waitUntil(() => answers === "012");
        },
    );

    test("in state reset closes its connections, and new ones at once", async () => {
        link.setState("reset");
        await closed;
        const next = net.connect(PORT, "127.0.0.1");
        next.on("error", () => next.destroy());
        await new Promise<void>(resolve => next.once("close", () => resolve()));
    });

    test("does not close the client's connection while it holds the server's end", async () => {
        link.setState("silent");
        let ended = false;
        void closed.then(() => {
            ended = true;
        });
        echo.sockets.forEach(socket => socket.destroy());
        await waitForDelivery();
        expect(ended).toBe(false);
        link.setState("open");
        await closed;
    });
});

async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await waitForDelivery();
    }
}

/** Waits until data in transit on loopback has arrived. */
function waitForDelivery(): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, 20));
}
