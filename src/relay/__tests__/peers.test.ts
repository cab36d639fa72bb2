import * as calls from "../../calls/index";
import * as clocks from "../../clock/index";
import * as inboundFixtures from "../../inbound/__tests__/fixtures";
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
/** Not reached in any test; the test of a peer without an answer sets its own. */
const TIMEOUT_MS = 5_000;

async function open(handle: (request: relay.CallerRequest) => Promise<relay.CallerReply>, isFresh = true) {
    const route = relay.createForwardedRequestRoute({
        getConfigurationVersion: () => 7,
        isConfigurationFresh: () => isFresh,
        getPeers: () => ["10.0.0.1:1"],
        handle,
    });
    const inbound = inboundFixtures.createInbound(clocks.createSystemClock());
    const server = calls.createCallServer(inbound, [route]);
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
            inbound.close();
        },
    };
}

describe("a forwarded request", () => {
    const replies: ReadonlyArray<{ readonly name: string; readonly reply: relay.CallerReply; }> = [
        { name: "accepted", reply: { status: 200, body: { state: "running" } } },
        { name: "refused", reply: { status: 503, retryAfterMs: 900, body: { error: "r" } } },
        { name: "refused for load", reply: { status: 503, retryAfterMs: 900, final: true, body: { error: "r" } } },
        { name: "without a body", reply: { status: 410 } },
    ];
    test.each(replies)("arrives unchanged, and so does its reply: $name", async ({ reply }) => {
        const seen: relay.CallerRequest[] = [];
        const peer = await open(async request => {
            seen.push(request);
            return reply;
        });
        const answer = await peer.send(REQUEST);
        await peer.close();
        expect(seen).toEqual([REQUEST]);
        expect(answer).toEqual({
            kind: "replied",
            forwarded: { reply, configurationVersion: 7, peers: ["10.0.0.1:1"] },
        });
    });

    test("to a process that has ended was never sent", async () => {
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

    test("is not handled under an older configuration than its minimum version", async () => {
        let handled = false;
        const peer = await open(async () => {
            handled = true;
            return { status: 200 };
        });
        const answer = await peer.send(REQUEST, { leastVersion: 8 });
        await peer.close();
        expect(answer).toMatchObject({ forwarded: { reply: { status: 503 }, configurationVersion: 7 } });
        expect(handled).toBe(false);
    });

    test("is not handled by an instance whose configuration may be stale", async () => {
        let handled = false;
        const peer = await open(async () => {
            handled = true;
            return { status: 200 };
        }, false);
        const answer = await peer.send(REQUEST, { leastVersion: 7 });
        await peer.close();
        expect(answer).toMatchObject({ forwarded: { reply: { status: 503 }, configurationVersion: 7 } });
        expect(handled).toBe(false);
    });

    const malformed = ["", "null", "{}", "{\"request\":{\"method\":1,\"path\":\"/\"}}", "x".repeat(2_000_000)];
    test.each(malformed.map(text => ({ text, name: text.slice(0, 30) })))(
        "is answered with status 400 if it is malformed: $name",
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

    test("to a stopping instance is answered, and later ones are not accepted", async () => {
        // Guards against an undecided request at each replacement of a peer: the request is being handled when the peer
        // stops, and the peer closes its connections instead of answering first.
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

// Guards against an instance that refuses every request as stale: the answer of a peer holds an invalid version, which
// is kept as the newest one seen.
describe("an answer of a peer", () => {
    const valid = { reply: { status: 200 }, configurationVersion: 3, peers: ["10.0.0.1:1"] };
    const cases: ReadonlyArray<readonly [name: string, answer: unknown, kind: string]> = [
        ["valid fields", valid, "replied"],
        ["a string as status", { ...valid, reply: { status: "200" } }, "silent"],
        ["a status out of range", { ...valid, reply: { status: 1_000 } }, "silent"],
        ["a string as version", { ...valid, configurationVersion: "9" }, "silent"],
        ["a version out of range", { ...valid, configurationVersion: 1e300 }, "silent"],
        ["no version", { reply: valid.reply }, "silent"],
        ["an array instead of an object", [valid], "silent"],
    ];
    test.each(cases)("with %s is decoded or rejected as a whole", async (_name, body, kind) => {
        const client: calls.HttpClient = {
            call: async () => ({ kind: "answered", status: 200, body: JSON.stringify(body) }),
            close: () => undefined,
        };
        const answer = await relay.createPeerClient(client)("a:1", { request: REQUEST, leastVersion: 0 }, TIMEOUT_MS);
        expect(answer.kind).toBe(kind);
    });

    test("is stripped of peers without a valid address", async () => {
        const peers = ["10.0.0.1:1", 7, "", "nowhere", "10.0.0.2:2"];
        const client: calls.HttpClient = {
            call: async () => ({ kind: "answered", status: 200, body: JSON.stringify({ ...valid, peers }) }),
            close: () => undefined,
        };
        const answer = await relay.createPeerClient(client)("a:1", { request: REQUEST, leastVersion: 0 }, TIMEOUT_MS);
        expect(answer).toMatchObject({ kind: "replied", forwarded: { peers: ["10.0.0.1:1", "10.0.0.2:2"] } });
    });
});
