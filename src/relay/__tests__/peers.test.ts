import * as calls from "../../calls/index";
import * as relay from "../index";

const REQUEST: relay.CallerRequest = {
    method: "POST",
    path: "/q/0123456789abcdef",
    host: "h.example",
    authorization: "Token key",
    requestId: "r1",
    deadlineMs: 2_900,
    body: "{\"spec\":\"\u00e9\"}",
};
/** No test waits for it but the one of a peer that is silent. */
const TIMEOUT_MS = 5_000;

async function open(handle: (request: relay.CallerRequest) => Promise<relay.CallerReply>, isFresh = true) {
    const route = relay.createForwardedRequestRoute({
        getConfigurationVersion: () => 7,
        isConfigurationFresh: () => isFresh,
        getPeers: () => ["10.0.0.1:1"],
        handle,
    });
    const server = calls.createCallServer([route]);
    const address = `127.0.0.1:${await server.listen("127.0.0.1:0")}`;
    const client = calls.createHttpClient(2);
    const send = relay.createPeerClient(client);
    return {
        address,
        server,
        send: (request: relay.CallerRequest, options: { timeoutMs?: number; leastVersion?: number; } = {}) =>
            send(address, { request, leastVersion: options.leastVersion ?? 0 }, options.timeoutMs ?? TIMEOUT_MS),
        close: async () => {
            client.close();
            await server.close();
        },
    };
}

describe("a request that is passed on", () => {
    const replies: ReadonlyArray<{ readonly name: string; readonly reply: relay.CallerReply; }> = [
        { name: "accepted", reply: { status: 200, body: { state: "running" } } },
        { name: "refused", reply: { status: 503, retryAfterMs: 900, body: { error: "r" } } },
        { name: "without a body", reply: { status: 410 } },
    ];
    test.each(replies)("arrives as it was, and its reply comes back: $name", async ({ reply }) => {
        const seen: relay.CallerRequest[] = [];
        const peer = await open(async request => {
            seen.push(request);
            return reply;
        });
        const answer = await peer.send(REQUEST);
        await peer.close();
        expect(seen).toEqual([REQUEST]);
        expect(answer).toEqual({ kind: "replied", passed: { reply, configurationVersion: 7, peers: ["10.0.0.1:1"] } });
    });

    test("to a process that is gone was never sent", async () => {
        const peer = await open(async () => ({ status: 200 }));
        await peer.close();
        const client = calls.createHttpClient(1);
        const answer = await relay.createPeerClient(client)(
            peer.address,
            { request: REQUEST, leastVersion: 0 },
            TIMEOUT_MS,
        );
        client.close();
        expect(answer).toMatchObject({ kind: "unreachable" });
    });

    test("to a peer that does not answer in time may have been carried out", async () => {
        const held: Array<(reply: relay.CallerReply) => void> = [];
        const peer = await open(() => new Promise(resolve => held.push(resolve)));
        const answer = await peer.send(REQUEST, { timeoutMs: 30 });
        expect(answer).toMatchObject({ kind: "silent" });
        held.forEach(finish => finish({ status: 200 }));
        await peer.close();
    });

    test("is not handled under an older configuration than it names", async () => {
        let handled = false;
        const peer = await open(async () => {
            handled = true;
            return { status: 200 };
        });
        const answer = await peer.send(REQUEST, { leastVersion: 8 });
        await peer.close();
        expect(answer).toMatchObject({ passed: { reply: { status: 503 }, configurationVersion: 7 } });
        expect(handled).toBe(false);
    });

    test("is not handled where a change may be due that is not known", async () => {
        let handled = false;
        const peer = await open(async () => {
            handled = true;
            return { status: 200 };
        }, false);
        const answer = await peer.send(REQUEST, { leastVersion: 7 });
        await peer.close();
        expect(answer).toMatchObject({ passed: { reply: { status: 503 }, configurationVersion: 7 } });
        expect(handled).toBe(false);
    });

    const malformed = ["", "null", "{}", "{\"request\":{\"method\":1,\"path\":\"/\"}}", "x".repeat(2_000_000)];
    test.each(malformed.map(text => ({ text, name: text.slice(0, 30) })))(
        "that is malformed reaches nobody: $name",
        async ({ text }) => {
            const seen: relay.CallerRequest[] = [];
            const peer = await open(async request => {
                seen.push(request);
                return { status: 200 };
            });
            const client = calls.createHttpClient(1);
            const outcome = await client.call({
                address: peer.address,
                method: "POST",
                path: "/request",
                body: text,
                timeoutMs: TIMEOUT_MS,
            });
            client.close();
            await peer.close();
            expect(seen).toEqual([]);
            expect(outcome).toMatchObject({ kind: "answered", status: 400 });
        },
    );

    test("to a stopping instance is answered, and then no more are taken", async () => {
        // Symptom: a request is left open at each replacement of a peer. Sequence: it is being handled when the peer
        // stops. Cause: the peer closes its connections instead of finishing.
        const held: Array<(reply: relay.CallerReply) => void> = [];
        const peer = await open(() => new Promise(resolve => held.push(resolve)));
        const pending = peer.send(REQUEST);
        while (held.length === 0) {
            await new Promise(resolve => setImmediate(resolve));
        }
        const closed = peer.server.close();
        held[0]!({ status: 200 });
        expect(await pending).toMatchObject({ kind: "replied" });
        await closed;
        expect(await peer.send(REQUEST)).toMatchObject({ kind: "unreachable" });
        await peer.close();
    });
});

// Symptom: an instance refuses every request as out of date. Sequence: a peer's answer names a version that is none.
// Cause: it was remembered as the newest that anyone has seen.
describe("a peer's answer that cannot be right", () => {
    const sound = { reply: { status: 200 }, configurationVersion: 3, peers: ["10.0.0.1:1"] };
    const cases: ReadonlyArray<readonly [name: string, answer: unknown, kind: string]> = [
        ["none of it", sound, "replied"],
        ["a status that is a text", { ...sound, reply: { status: "200" } }, "silent"],
        ["a status out of range", { ...sound, reply: { status: 1_000 } }, "silent"],
        ["a version that is a text", { ...sound, configurationVersion: "9" }, "silent"],
        ["a version beyond all numbers", { ...sound, configurationVersion: 1e300 }, "silent"],
        ["no version", { reply: sound.reply }, "silent"],
        ["a list", [sound], "silent"],
    ];
    test.each(cases)("with %s", async (_name, body, kind) => {
        const client: calls.HttpClient = {
            call: async () => ({ kind: "answered", status: 200, body: JSON.stringify(body) }),
            close: () => undefined,
        };
        const answer = await relay.createPeerClient(client)("a:1", { request: REQUEST, leastVersion: 0 }, TIMEOUT_MS);
        expect(answer.kind).toBe(kind);
    });

    test("names only peers that can be called", async () => {
        const peers = ["10.0.0.1:1", 7, "", "nowhere", "10.0.0.2:2"];
        const client: calls.HttpClient = {
            call: async () => ({ kind: "answered", status: 200, body: JSON.stringify({ ...sound, peers }) }),
            close: () => undefined,
        };
        const answer = await relay.createPeerClient(client)("a:1", { request: REQUEST, leastVersion: 0 }, TIMEOUT_MS);
        expect(answer).toMatchObject({ kind: "replied", passed: { peers: ["10.0.0.1:1", "10.0.0.2:2"] } });
    });
});
