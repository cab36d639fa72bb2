/**
 * Passes callers' requests to another instance while this one cannot serve them.
 *
 * What goes wrong without it: the store turns single instances away, and the balancer needs two seconds to notice.
 * Callers who meet such an instance are refused and lose the second until their next try, though every other instance
 * could serve them. One notices refusals beside idle workers.
 *
 * The other instance handles the request as it came, key and route included, under its own configuration: the one here
 * may be out of date, since changes come through the store as well.
 */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as messages from "./messages";

export type PeerAnswer =
    | { readonly kind: "replied"; readonly passed: messages.PassedReply; }
    /** It never saw the request. */
    | { readonly kind: "unreachable"; readonly message: string; }
    /** It may have carried the request out, or may still do so. */
    | { readonly kind: "silent"; readonly message: string; };

export interface RelayOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    /** Version of the configuration in force here; 0: none. */
    getConfigurationVersion(): number;
    isStoreAway(): boolean;
    /** Where other instances pass requests on to this one. */
    readonly ownAddress: string;
    /** Addresses of other instances, the likeliest to serve first. */
    getPeers(): readonly string[];
    send(peer: string, request: messages.CallersRequest, timeoutMs: number): Promise<PeerAnswer>;
}

export interface Relay {
    /** `handle` serves the request here; it is asked when no other instance can, or nothing is wrong here. */
    answer(
        request: messages.CallersRequest,
        handle: () => Promise<messages.CallersReply>,
    ): Promise<messages.CallersReply>;
}

/** Peers asked for one request: the leader, and one that the leader names where it is cut off itself. */
const MOST_PEERS = 2;
/** A reply takes some 15 ms, at a store that is 60 times slower 0.6 s. */
const PEER_TIMEOUT_MS = 700;
/** A peer that has lost the store a moment before refuses within this time, which leaves no outcome open. */
const PEER_DEADLINE_MS = 600;
/**
 * A request that is not settled here by then is passed on as well: it takes 15 ms as a rule, and a store that has just
 * fallen silent is noticed after 0.5 to 1.2 s only.
 */
const HEDGE_MS = 200;
/** Asking for less is in vain: the reply has to get back to the caller as well. */
const LEAST_TIMEOUT_MS = 50;
/** A peer that was silent is left alone for this long, so that at most one request in it waits for nothing. */
const SILENT_PAUSE_MS = 2_000;
/** One that is there and cannot serve either, as when the whole store is away: a probe finds the store as often. */
const UNABLE_PAUSE_MS = 200;

/** As after a refusal by this instance itself: most troubles are over by then. */
const RETRY_AFTER_MS = 1_000;

/** Replies that decide nothing: the first says that nothing was or will be done, the second leaves it open. */
export const Status = { Unavailable: 503, Undecided: 504 } as const;

export function createRelay(options: RelayOptions): Relay {
    const { clock: time, log, meter } = options;
    const pausedUntil = new Map<string, number>();
    /** The newest configuration that a passed request was handled under. */
    let versionSeen = 0;
    /**
     * Peers that another instance has named. Without them an instance that has never led knows the leader alone, and
     * can pass nothing on when the store turns the leader away as well.
     */
    let named: readonly string[] = [];

    const pause = (peer: string, ms: number) => {
        pausedUntil.set(peer, time.now() + ms);
    };
    /** The likeliest peer to serve that is not paused. */
    const choosePeer = (): string | undefined => {
        const now = time.now();
        for (const [peer, until] of pausedUntil) {
            if (until <= now) {
                pausedUntil.delete(peer);
            }
        }
        return [...options.getPeers(), ...named].find(peer => peer !== options.ownAddress && !pausedUntil.has(peer));
    };
    /** `undefined`: nobody could serve it, and nobody has carried it out. */
    const pass = async (
        request: messages.CallersRequest,
        deadlineAt: number,
    ): Promise<messages.CallersReply | undefined> => {
        for (let tries = 0; tries < MOST_PEERS; tries++) {
            const peer = choosePeer();
            const sentAt = time.now();
            const leftMs = deadlineAt - sentAt;
            if (peer === undefined || leftMs < LEAST_TIMEOUT_MS) {
                break;
            }
            const answer = await options.send(
                peer,
                { ...request, deadlineMs: Math.min(PEER_DEADLINE_MS, leftMs) },
                Math.min(PEER_TIMEOUT_MS, leftMs),
            );
            const outcome = answer.kind === "replied" ? String(answer.passed.reply.status) : answer.kind;
            meter.increment("requests_passed_total", { outcome });
            log.info("requestPassed", {
                request: request.requestId,
                call: `${request.method} ${request.path}`,
                peer,
                outcome,
                version: answer.kind === "replied" ? answer.passed.configurationVersion : undefined,
                tookMs: Math.round(time.now() - sentAt),
            });
            switch (answer.kind) {
                case "replied": {
                    const { reply, configurationVersion, peers } = answer.passed;
                    versionSeen = Math.max(versionSeen, configurationVersion);
                    named = peers.length > 0 ? peers : named;
                    if (reply.status !== Status.Unavailable) {
                        return reply;
                    }
                    pause(peer, UNABLE_PAUSE_MS);
                    break;
                }
                case "unreachable":
                    pause(peer, SILENT_PAUSE_MS);
                    break;
                case "silent":
                    pause(peer, SILENT_PAUSE_MS);
                    if (mayChange(request)) {
                        return { status: Status.Undecided, retryAfterMs: RETRY_AFTER_MS, body: { error: "no answer" } };
                    }
                    break;
            }
        }
        return undefined;
    };
    /**
     * What goes wrong without it: a caller has seen the effect of a new configuration through another instance, and
     * the next request is handled here under the old one: a key that was taken away works again.
     */
    const handleHere = async (handle: () => Promise<messages.CallersReply>): Promise<messages.CallersReply> =>
        options.getConfigurationVersion() < versionSeen
            ? { status: Status.Unavailable, retryAfterMs: RETRY_AFTER_MS, body: { error: "configuration out of date" } }
            : handle();

    const waitFor = (reply: Promise<messages.CallersReply>, ms: number) =>
        new Promise<messages.CallersReply | undefined>((resolve, reject) => {
            const cancel = time.setTimer(ms, () => resolve(undefined));
            reply.then(resolve, reject).finally(cancel);
        });

    return {
        answer: async (request, handle) => {
            const deadlineAt = time.now() + request.deadlineMs;
            if (options.isStoreAway()) {
                return await pass(request, deadlineAt) ?? handleHere(handle);
            }
            const here = handleHere(handle);
            const early = await waitFor(here, HEDGE_MS);
            if (early && isDecided(early)) {
                return early;
            }
            // Jobs are named by their callers, so a submission or a cancellation may be handed in a second time.
            const passed = pass(request, deadlineAt);
            return early ? await passed ?? early : takeFirstDecided(here, passed);
        },
    };
}

function mayChange(request: messages.CallersRequest): boolean {
    return request.method !== "GET";
}

function isDecided({ status }: messages.CallersReply): boolean {
    return status !== Status.Unavailable && status !== Status.Undecided;
}

/** Where neither is decided, what was passed on may have been carried out: its reply, if there is one, says so. */
function takeFirstDecided(
    here: Promise<messages.CallersReply>,
    passed: Promise<messages.CallersReply | undefined>,
): Promise<messages.CallersReply> {
    return new Promise((resolve, reject) => {
        const takeDecided = (reply: messages.CallersReply | undefined) => {
            if (reply && isDecided(reply)) {
                resolve(reply);
            }
        };
        void here.then(takeDecided, reject);
        void passed.then(takeDecided, reject);
        void Promise.all([here, passed]).then(([own, other]) => resolve(other ?? own), reject);
    });
}
