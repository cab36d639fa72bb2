import * as clocks from "../../clock/index";
import * as relay from "../index";

const POST: relay.CallerRequest = {
    method: "POST",
    path: "/q/1",
    host: "h",
    authorization: "Token key",
    requestId: "r",
    deadlineMs: 3_000,
    body: "{}",
};
const GET: relay.CallerRequest = { ...POST, method: "GET", body: "" };

const accepted: relay.CallerReply = { status: 200, body: {} };
const refused: relay.CallerReply = { status: 503, retryAfterMs: 900, body: { error: "here" } };
const undecided: relay.CallerReply = { status: 504, retryAfterMs: 900, body: { error: "here" } };
const silent: relay.ForwardResult = { kind: "silent", message: "" };
const unreachable: relay.ForwardResult = { kind: "unreachable", message: "" };

function replied(
    reply: relay.CallerReply,
    configurationVersion = 1,
    peers: readonly string[] = [],
): relay.ForwardResult {
    return { kind: "replied", forwarded: { reply, configurationVersion, peers } };
}

interface OpenOptions {
    readonly storeUnreachable?: boolean;
    /** Whether the configuration here may be stale. */
    readonly stale?: boolean;
    readonly answers?: Readonly<Record<string, relay.ForwardResult>>;
    /** Peers known without being named by another; by default all that have an answer. */
    readonly known?: readonly string[];
    readonly version?: () => number;
}

function open(options: OpenOptions) {
    const time = clocks.createManualClock(0);
    const asked: string[] = [];
    const leastVersions: number[] = [];
    const answers = options.answers ?? {};
    const created = relay.createRelay({
        clock: time,
        log: { info: () => undefined, warn: () => undefined, error: () => undefined },
        meter: { increment: () => undefined, record: () => undefined, registerGauges: () => () => undefined },
        getConfigurationVersion: options.version ?? (() => 1),
        isConfigurationFresh: () => !options.stale,
        isStoreUnreachable: () => options.storeUnreachable ?? false,
        ownAddress: "self",
        getPeers: () => options.known ?? Object.keys(answers),
        send: async (peer, forwarded) => {
            asked.push(peer);
            leastVersions.push(forwarded.leastVersion);
            return answers[peer]!;
        },
    });
    return { time, asked, leastVersions, relay: created };
}

describe("a request that this instance may not be able to serve", () => {
    const cases: ReadonlyArray<
        OpenOptions & {
            readonly name: string;
            readonly request?: relay.CallerRequest;
            /** Reply of this instance if it handles the request; by default `accepted`. */
            readonly here?: relay.CallerReply;
            readonly reply: relay.CallerReply;
            readonly asked: readonly string[];
            /** Whether this instance is expected to handle the request, too. */
            readonly handled: boolean;
        }
    > = [
        {
            name: "is handled here while the store is reachable",
            answers: { leader: replied(accepted) },
            reply: accepted,
            asked: [],
            handled: true,
        },
        {
            name: "goes to the leader while the store is unreachable from here",
            storeUnreachable: true,
            answers: { leader: replied(accepted), other: silent },
            reply: accepted,
            asked: ["leader"],
            handled: false,
        },
        {
            // Guards against instances that serve a removed queue: their reads of the configuration take too long, and
            // only an outage of the store keeps them from serving under the old one.
            name: "goes to the leader while the configuration here may be stale",
            stale: true,
            answers: { leader: replied({ status: 404 }) },
            reply: { status: 404 },
            asked: ["leader"],
            handled: false,
        },
        {
            name: "is refused while the configuration here may be stale and no peer can serve it",
            stale: true,
            answers: { leader: unreachable },
            reply: { status: 503, retryAfterMs: 1_000, body: { error: "configuration out of date" } },
            asked: ["leader"],
            handled: false,
        },
        {
            name: "is refused, too, if the store is unreachable, the configuration stale and no peer known",
            stale: true,
            storeUnreachable: true,
            answers: {},
            reply: { status: 503, retryAfterMs: 1_000, body: { error: "configuration out of date" } },
            asked: [],
            handled: false,
        },
        {
            name: "goes to the leader when it is refused here first",
            here: refused,
            answers: { leader: replied(accepted) },
            reply: accepted,
            asked: ["leader"],
            handled: true,
        },
        {
            // Guards against a refusal for load that occupies a second instance, and makes this one avoid it.
            name: "is not passed on when it is refused here for load",
            here: { ...refused, final: true },
            answers: { leader: replied(accepted) },
            reply: { ...refused, final: true },
            asked: [],
            handled: true,
        },
        {
            name: "goes to no other peer when the first refuses it for load",
            storeUnreachable: true,
            answers: { a: replied({ ...refused, final: true }), b: replied(accepted) },
            reply: { ...refused, final: true },
            asked: ["a"],
            handled: false,
        },
        {
            name: "goes to the next peer if the first is unreachable",
            storeUnreachable: true,
            answers: { leader: unreachable, other: replied({ status: 410 }) },
            reply: { status: 410 },
            asked: ["leader", "other"],
            handled: false,
        },
        {
            name: "goes to at most two peers",
            storeUnreachable: true,
            here: refused,
            answers: { a: unreachable, b: unreachable, c: replied(accepted) },
            reply: refused,
            asked: ["a", "b"],
            handled: true,
        },
        {
            name: "gets the refusal of this instance if the peers do not reach the store either",
            storeUnreachable: true,
            here: refused,
            answers: { leader: replied({ status: 503, retryAfterMs: 1 }) },
            reply: refused,
            asked: ["leader"],
            handled: true,
        },
        {
            // Guards against refusals beside instances that could serve: the store rejects the calls of the leader and
            // of an instance that has never led, and the latter knows only the leader.
            name: "goes to a peer that the leader names, but not back to this instance",
            storeUnreachable: true,
            answers: { leader: replied(refused, 1, ["self", "other"]), other: replied(accepted) },
            known: ["leader"],
            reply: accepted,
            asked: ["leader", "other"],
            handled: false,
        },
        {
            // Guards against a job that runs although the reply says that it is not accepted: the peer stores it,
            // its answer is lost, and this instance treats the silence as a refusal.
            name: "is undecided if a peer that may have carried it out is silent",
            storeUnreachable: true,
            here: refused,
            answers: { leader: silent, other: replied({ status: 503 }) },
            reply: { status: 504 },
            asked: ["leader"],
            handled: false,
        },
        {
            name: "goes to the next peer after a silent one if it changes nothing",
            request: GET,
            storeUnreachable: true,
            answers: { leader: silent, other: replied({ status: 200, body: { state: "running" } }) },
            reply: { status: 200, body: { state: "running" } },
            asked: ["leader", "other"],
            handled: false,
        },
        {
            name: "is decided by a peer if it was undecided here",
            here: undecided,
            answers: { leader: replied(accepted) },
            reply: accepted,
            asked: ["leader"],
            handled: true,
        },
        {
            // Guards against a job that runs although the reply says that it is not accepted: the refusal of a
            // peer does not cover the write that this instance has sent.
            name: "stays undecided if it was undecided here and a peer refuses it",
            here: undecided,
            answers: { leader: replied({ status: 503 }) },
            reply: undecided,
            asked: ["leader"],
            handled: true,
        },
        // Guards against the same beside refusals that the peer does not take for a failure of its own: it has a newer
        // configuration, or more load.
        ...[{ status: 400 }, { status: 401 }, { status: 404 }, { ...refused, final: true }].map(refusal => ({
            name: `stays undecided if it was undecided here and a peer answers ${refusal.status}`,
            here: undecided,
            answers: { leader: replied(refusal), other: replied(accepted) },
            reply: undecided,
            asked: ["leader"],
            handled: true,
        })),
        {
            name: "is decided by a peer that acknowledges the cancellation of an unknown job",
            request: { ...POST, method: "DELETE", body: "" },
            here: undecided,
            answers: { leader: replied({ status: 410 }) },
            reply: { status: 410 },
            asked: ["leader"],
            handled: true,
        },
        {
            name: "is refused at once if no peer is known",
            storeUnreachable: true,
            here: refused,
            reply: refused,
            asked: [],
            handled: true,
        },
    ];
    test.each(cases)("$name", async testCase => {
        const opened = open(testCase);
        let handled = false;
        const reply = await opened.relay.answer(testCase.request ?? POST, async () => {
            handled = true;
            return testCase.here ?? accepted;
        });
        expect(reply).toMatchObject(testCase.reply);
        expect(opened.asked).toEqual(testCase.asked);
        expect(handled).toBe(testCase.handled);
    });

    test("is not sent to a silent peer for two seconds", async () => {
        // Guards against refusals that each take most of a second: the peers are cut off as well, and every request
        // waits for them again.
        const opened = open({ storeUnreachable: true, answers: { leader: silent } });
        const ask = () => opened.relay.answer(GET, async () => refused);
        await ask();
        await ask();
        expect(opened.asked).toHaveLength(1);
        await opened.time.advance(2_000);
        await ask();
        expect(opened.asked).toHaveLength(2);
    });

    test("is not handled here under an older configuration than a peer has replied under", async () => {
        // Guards against a revoked key that works again: an instance that is cut off forwards requests, whose callers
        // see the new configuration; then the peer is lost, and the old configuration is still in force here.
        let version = 3;
        const answers: Record<string, relay.ForwardResult> = { leader: replied(accepted, 4) };
        const opened = open({ storeUnreachable: true, answers, version: () => version });
        expect(await opened.relay.answer(POST, async () => accepted)).toMatchObject(accepted);
        answers["leader"] = unreachable;
        expect(await opened.relay.answer(POST, async () => accepted)).toMatchObject({ status: 503 });
        version = 4;
        expect(await opened.relay.answer(POST, async () => accepted)).toMatchObject(accepted);
    });

    test("holds the newest configuration version in force here or seen through a peer", async () => {
        // Guards against a request that is handled under an older configuration than the one before it: configurations
        // change in quick succession, requests are forwarded to two peers in turn, and the second peer is behind the
        // first one, or behind the forwarding instance.
        let version = 5;
        const answers: Record<string, relay.ForwardResult> = { leader: replied(accepted, 4) };
        const opened = open({ storeUnreachable: true, answers, version: () => version });
        const ask = () => opened.relay.answer(POST, async () => refused);
        await ask();
        version = 3;
        answers["leader"] = replied(accepted, 9);
        await ask();
        await ask();
        expect(opened.leastVersions).toEqual([5, 4, 9]);
    });
});
