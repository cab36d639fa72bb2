/**
 * Passes callers' requests to another instance while this one cannot serve them.
 *
 * What goes wrong without it: the store turns single instances away, and the balancer needs two seconds to notice.
 * Callers who meet such an instance are refused and lose the second until their next try, though every other instance
 * could serve them. One notices refusals beside idle workers.
 *
 * The same way goes what comes to an instance whose configuration may be out of date (`src/catalog/freshness.ts`).
 *
 * The other instance handles the request as it came, key and route included, under its own configuration: the one here
 * may be out of date, since changes come through the store as well. It refuses where its own is the older one.
 */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as messages from "./messages";
import * as replies from "./replies";

export type ForwardResult =
    | { readonly kind: "replied"; readonly passed: messages.ForwardedReply; }
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
    /** Whether callers may be served under it; not where a change may be due that has not been read here. */
    isConfigurationFresh(): boolean;
    isStoreUnreachable(): boolean;
    /** Where other instances pass requests on to this one. */
    readonly ownAddress: string;
    /** Addresses of other instances, the likeliest to serve first. */
    getPeers(): readonly string[];
    send(peer: string, passed: messages.ForwardedRequest, timeoutMs: number): Promise<ForwardResult>;
}

export interface Relay {
    /** `handle` serves the request here; it is asked when no other instance can, or nothing is wrong here. */
    answer(
        request: messages.CallerRequest,
        handle: () => Promise<messages.CallerReply>,
    ): Promise<messages.CallerReply>;
}

/** Peers asked for one request: the leader, and one that the leader names where it is cut off itself. */
const MOST_PEERS = 2;
/** A reply takes some 15 ms, at a store that is 60 times slower 0.6 s. */
const PEER_TIMEOUT_MS = 700;
/** A peer that has lost the store a moment before refuses within this time, which leaves no outcome open. */
const PEER_DEADLINE_MS = 600;
/** Asking for less is in vain: the reply has to get back to the caller as well. */
const LEAST_TIMEOUT_MS = 50;
/** A peer that was silent is left alone for this long, so that at most one request in it waits for nothing. */
const SILENT_PAUSE_MS = 2_000;
/** One that is there and cannot serve either, as when the whole store is away: a probe finds the store as often. */
const UNABLE_PAUSE_MS = 200;

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
        request: messages.CallerRequest,
        deadlineAt: number,
    ): Promise<messages.CallerReply | undefined> => {
        for (let tries = 0; tries < MOST_PEERS; tries++) {
            const peer = choosePeer();
            const sentAt = time.now();
            const leftMs = deadlineAt - sentAt;
            if (peer === undefined || leftMs < LEAST_TIMEOUT_MS) {
                break;
            }
            const answer = await options.send(peer, {
                request: { ...request, deadlineMs: Math.min(PEER_DEADLINE_MS, leftMs) },
                // The peer may be behind this instance, or behind another one that was asked before.
                leastVersion: Math.max(versionSeen, options.getConfigurationVersion()),
            }, Math.min(PEER_TIMEOUT_MS, leftMs));
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
                    if (reply.status !== replies.Status.Unavailable) {
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
                        return replies.NO_ANSWER;
                    }
                    break;
            }
        }
        return undefined;
    };
    /**
     * What goes wrong without it: a caller has seen the effect of a new configuration through another instance, and
     * the next request is handled here under the old one: a key that was taken away works again. Or a change is due
     * that this instance has not been able to read.
     */
    const handleHere = async (handle: () => Promise<messages.CallerReply>): Promise<messages.CallerReply> =>
        options.getConfigurationVersion() < versionSeen || !options.isConfigurationFresh()
            ? replies.OUT_OF_DATE
            : handle();

    return {
        answer: async (request, handle) => {
            const deadlineAt = time.now() + request.deadlineMs;
            if (options.isStoreUnreachable() || !options.isConfigurationFresh()) {
                return await pass(request, deadlineAt) ?? handleHere(handle);
            }
            const reply = await handleHere(handle);
            // Jobs are named by their callers, so a submission or a cancellation may be handed in a second time.
            return replies.isDecided(reply) ? reply : await pass(request, deadlineAt) ?? reply;
        },
    };
}

function mayChange(request: messages.CallerRequest): boolean {
    return request.method !== "GET";
}
