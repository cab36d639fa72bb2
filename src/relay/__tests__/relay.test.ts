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
    return { kind: "replied", passed: { reply, configurationVersion, peers } };
}

interface OpenOptions {
    readonly storeAway?: boolean;
    /** Whether a change may be due that is not known here. */
    readonly stale?: boolean;
    readonly answers?: Readonly<Record<string, relay.ForwardResult>>;
    /** Known without being named by another; the ones that answer otherwise. */
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
        isStoreUnreachable: () => options.storeAway ?? false,
        ownAddress: "self",
        getPeers: () => options.known ?? Object.keys(answers),
        send: async (peer, passed) => {
            asked.push(peer);
            leastVersions.push(passed.leastVersion);
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
            /** What comes of it here. */
            readonly here?: relay.CallerReply;
            readonly reply: relay.CallerReply;
            readonly asked: readonly string[];
            /** Whether it is handled here as well. */
            readonly handled: boolean;
        }
    > = [
        {
            name: "is handled here while the store is there",
            answers: { leader: replied(accepted) },
            reply: accepted,
            asked: [],
            handled: true,
        },
        {
            name: "goes to the leader while the store is away from here",
            storeAway: true,
            answers: { leader: replied(accepted), other: silent },
            reply: accepted,
            asked: ["leader"],
            handled: false,
        },
        {
            // Symptom: a queue that was removed is served by some instances. Sequence: their reads of the configuration
            // take too long. Cause: nothing but the store's absence kept an instance from serving by what it had.
            name: "goes to the leader while a change may be due that is not known here",
            stale: true,
            answers: { leader: replied({ status: 404 }) },
            reply: { status: 404 },
            asked: ["leader"],
            handled: false,
        },
        {
            name: "is refused while a change may be due here and no peer can serve it",
            stale: true,
            answers: { leader: unreachable },
            reply: { status: 503, retryAfterMs: 1_000, body: { error: "configuration out of date" } },
            asked: ["leader"],
            handled: false,
        },
        {
            name: "is not judged by an old configuration while the store is away either",
            stale: true,
            storeAway: true,
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
            name: "goes to the next peer when the first cannot be reached",
            storeAway: true,
            answers: { leader: unreachable, other: replied({ status: 410 }) },
            reply: { status: 410 },
            asked: ["leader", "other"],
            handled: false,
        },
        {
            name: "goes to two peers at most",
            storeAway: true,
            here: refused,
            answers: { a: unreachable, b: unreachable, c: replied(accepted) },
            reply: refused,
            asked: ["a", "b"],
            handled: true,
        },
        {
            name: "is refused as it would be here when peers lack the store as well",
            storeAway: true,
            here: refused,
            answers: { leader: replied({ status: 503, retryAfterMs: 1 }) },
            reply: refused,
            asked: ["leader"],
            handled: true,
        },
        {
            // Symptom: refusals beside instances that could serve. Sequence: the store turns the leader away, and one
            // that has never led. Cause: the latter knows no other instance than the leader.
            name: "goes to a peer that the leader names, and not to itself",
            storeAway: true,
            answers: { leader: replied(refused, 1, ["self", "other"]), other: replied(accepted) },
            known: ["leader"],
            reply: accepted,
            asked: ["leader", "other"],
            handled: false,
        },
        {
            // Symptom: a job runs that its caller was told is not accepted. Sequence: it is passed on, the peer
            // stores it and its answer is lost; it is refused here. Cause: silence was taken for a refusal.
            name: "is left open when a peer that may have carried it out is silent",
            storeAway: true,
            here: refused,
            answers: { leader: silent, other: replied({ status: 503 }) },
            reply: { status: 504 },
            asked: ["leader"],
            handled: false,
        },
        {
            name: "may be asked of the next peer after silence when it changes nothing",
            request: GET,
            storeAway: true,
            answers: { leader: silent, other: replied({ status: 200, body: { state: "running" } }) },
            reply: { status: 200, body: { state: "running" } },
            asked: ["leader", "other"],
            handled: false,
        },
        {
            name: "is settled by a peer when it was left open here",
            here: undecided,
            answers: { leader: replied(accepted) },
            reply: accepted,
            asked: ["leader"],
            handled: true,
        },
        {
            // Symptom: as above. Cause: the peer's refusal says nothing of the write that went out from here.
            name: "stays open when it was left open here and a peer refuses it",
            here: undecided,
            answers: { leader: replied({ status: 503 }) },
            reply: undecided,
            asked: ["leader"],
            handled: true,
        },
        {
            name: "is refused at once where no peer is known",
            storeAway: true,
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

    test("leaves a silent peer alone for two seconds", async () => {
        // Symptom: refusals take most of a second, one after the other. Sequence: peers are cut off as well. Cause:
        // each request waits for them anew.
        const opened = open({ storeAway: true, answers: { leader: silent } });
        const ask = () => opened.relay.answer(GET, async () => refused);
        await ask();
        await ask();
        expect(opened.asked).toHaveLength(1);
        await opened.time.advance(2_000);
        await ask();
        expect(opened.asked).toHaveLength(2);
    });

    test("is not handled here under an older configuration than the one that was seen through a peer", async () => {
        // Symptom: a key that was taken away works again. Sequence: an instance that is cut off passes requests on,
        // whose callers see the new configuration; then the peer is lost. Cause: the old one is still in force here.
        let version = 3;
        const answers: Record<string, relay.ForwardResult> = { leader: replied(accepted, 4) };
        const opened = open({ storeAway: true, answers, version: () => version });
        expect(await opened.relay.answer(POST, async () => accepted)).toMatchObject(accepted);
        answers["leader"] = unreachable;
        expect(await opened.relay.answer(POST, async () => accepted)).toMatchObject({ status: 503 });
        version = 4;
        expect(await opened.relay.answer(POST, async () => accepted)).toMatchObject(accepted);
    });

    test("names the newest configuration that was in force here or seen through a peer", async () => {
        // Symptom: a request is handled as only an older configuration allows, right after one under a newer. Sequence:
        // configurations follow each other closely; requests are passed on to two peers in turn. Cause: the second
        // peer is behind the first one, or behind the instance that passes on.
        let version = 5;
        const answers: Record<string, relay.ForwardResult> = { leader: replied(accepted, 4) };
        const opened = open({ storeAway: true, answers, version: () => version });
        const ask = () => opened.relay.answer(POST, async () => refused);
        await ask();
        version = 3;
        answers["leader"] = replied(accepted, 9);
        await ask();
        await ask();
        expect(opened.leastVersions).toEqual([5, 4, 9]);
    });
});
