/**
 * Forwards caller requests to another instance (a peer) while this one cannot serve them.
 *
 * The store may reject the calls of a single instance, and the load balancer takes two seconds to notice. Without
 * forwarding, callers of that instance are refused and retry after a second although every other instance could serve
 * them, and workers stay idle meanwhile.
 *
 * An instance whose configuration may be stale forwards its requests as well, see `src/catalog/freshness.ts`.
 *
 * The peer checks key and route again under its own configuration: the one here may be stale, since changes arrive
 * through the store, too. The peer refuses the request if its own configuration is the older one.
 */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as messages from "./messages";
import * as replies from "./replies";

/** Result of forwarding a request to one peer. */
export type ForwardResult =
    | { readonly kind: "replied"; readonly forwarded: messages.ForwardedReply; }
    /** The peer did not receive the request. */
    | { readonly kind: "unreachable"; readonly message: string; }
    /** No valid reply: the peer may have carried out the request, or may still do so. */
    | { readonly kind: "silent"; readonly message: string; };

/** Ports and state of this instance that the relay needs. */
export interface RelayOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    /** Version of the configuration in force here; 0 if there is none. */
    getConfigurationVersion(): number;
    /** Whether callers may be served under it; false if a change not yet read here may be in force elsewhere. */
    isConfigurationFresh(): boolean;
    isStoreUnreachable(): boolean;
    /** Address on which this instance accepts forwarded requests; it never forwards to itself. */
    readonly ownAddress: string;
    /** Addresses of other instances, the one most likely to serve first. */
    getPeers(): readonly string[];
    send(peer: string, forwarded: messages.ForwardedRequest, timeoutMs: number): Promise<ForwardResult>;
}

/** Serves requests here or through peers. */
export interface Relay {
    /**
     * Serves a request here by `handle`, or through a peer while this instance cannot serve it. While the configuration
     * here is stale a request that no peer serves is refused.
     */
    answer(
        request: messages.CallerRequest,
        handle: () => Promise<messages.CallerReply>,
    ): Promise<messages.CallerReply>;
}

/** Allows for the leader and, if the leader is cut off from the store, for a peer that it names. */
const MAX_PEERS = 2;
/** A reply takes about 15 ms, or 0.6 s if the store is 60 times slower. */
const PEER_TIMEOUT_MS = 700;
/** This is shorter than the timeout, so a peer that has just lost the store refuses in time: the outcome is known. */
const PEER_DEADLINE_MS = 600;
/** Minimum time left for a forwarded request: with less, a peer's reply would miss the caller's deadline. */
const MIN_TIMEOUT_MS = 50;
/** Backoff for a peer that did not reply: at most one request in this time waits for its timeout. */
const SILENT_BACKOFF_MS = 2_000;
/** Backoff for a peer that cannot serve either, as in a full outage of the store; equals the store's probe interval. */
const UNABLE_BACKOFF_MS = 200;

/** Creates the relay of one instance. */
export function createRelay(options: RelayOptions): Relay {
    const { clock: time, log, meter } = options;
    const backoffUntil = new Map<string, number>();
    /** Newest configuration version under which a peer handled a forwarded request. */
    let newestVersion = 0;
    /**
     * Peers that another instance has named. Without them an instance that has never led knows only the leader, and
     * cannot forward anything when the store rejects the leader's calls, too.
     */
    let namedPeers: readonly string[] = [];

    const backOff = (peer: string, ms: number) => {
        backoffUntil.set(peer, time.now() + ms);
    };
    /** Returns the peer most likely to serve among those that are not in backoff. */
    const choosePeer = (): string | undefined => {
        const now = time.now();
        for (const [peer, until] of backoffUntil) {
            if (until <= now) {
                backoffUntil.delete(peer);
            }
        }
        return [...options.getPeers(), ...namedPeers].find(peer =>
            peer !== options.ownAddress && !backoffUntil.has(peer)
        );
    };
    /** Returns `undefined` if no peer could serve the request; then none has carried it out. */
    const forward = async (
        request: messages.CallerRequest,
        deadlineAt: number,
    ): Promise<messages.CallerReply | undefined> => {
        for (let tries = 0; tries < MAX_PEERS; tries++) {
            const peer = choosePeer();
            const sentAt = time.now();
            const remainingMs = deadlineAt - sentAt;
            if (peer === undefined || remainingMs < MIN_TIMEOUT_MS) {
                break;
            }
            const result = await options.send(peer, {
                request: { ...request, deadlineMs: Math.min(PEER_DEADLINE_MS, remainingMs) },
                // The peer's configuration may be older than this instance's or that of a peer asked before.
                leastVersion: Math.max(newestVersion, options.getConfigurationVersion()),
            }, Math.min(PEER_TIMEOUT_MS, remainingMs));
            const outcome = result.kind === "replied" ? String(result.forwarded.reply.status) : result.kind;
            meter.increment("requests_passed_total", { outcome });
            log.info("requestPassed", {
                request: request.requestId,
                call: `${request.method} ${request.path}`,
                peer,
                outcome,
                version: result.kind === "replied" ? result.forwarded.configurationVersion : undefined,
                tookMs: Math.round(time.now() - sentAt),
            });
            switch (result.kind) {
                case "replied": {
                    const { reply, configurationVersion, peers } = result.forwarded;
                    newestVersion = Math.max(newestVersion, configurationVersion);
                    namedPeers = peers.length > 0 ? peers : namedPeers;
                    if (reply.status !== replies.Status.Unavailable || reply.final) {
                        return reply;
                    }
                    backOff(peer, UNABLE_BACKOFF_MS);
                    break;
                }
                case "unreachable":
                    backOff(peer, SILENT_BACKOFF_MS);
                    break;
                case "silent":
                    backOff(peer, SILENT_BACKOFF_MS);
                    if (isMutating(request)) {
                        return replies.NO_ANSWER;
                    }
                    break;
            }
        }
        return undefined;
    };
    /**
     * Refuses a request that would be handled under a stale configuration. Otherwise a caller that has seen the effect
     * of a newer configuration through a peer gets the old one here, and a revoked key works again.
     */
    const handleUnlessStale = async (handle: () => Promise<messages.CallerReply>): Promise<messages.CallerReply> =>
        options.getConfigurationVersion() < newestVersion || !options.isConfigurationFresh()
            ? replies.OUT_OF_DATE
            : handle();

    return {
        answer: async (request, handle) => {
            const deadlineAt = time.now() + request.deadlineMs;
            if (options.isStoreUnreachable() || !options.isConfigurationFresh()) {
                return await forward(request, deadlineAt) ?? handleUnlessStale(handle);
            }
            const reply = await handleUnlessStale(handle);
            if (replies.isDecided(reply)) {
                return reply;
            }
            // Callers choose the job ids, so submissions and cancellations are idempotent and may be sent again.
            const forwarded = await forward(request, deadlineAt);
            if (!forwarded) {
                return reply;
            }
            if (reply.status === replies.Status.Undecided && !replies.isCarriedOut(request, forwarded)) {
                // The peer knows nothing of the writes that this instance has sent.
                log.info("refusalWithheld", {
                    request: request.requestId,
                    path: request.path,
                    status: forwarded.status,
                });
                meter.increment("refusals_withheld_total");
                return reply;
            }
            return forwarded;
        },
    };
}

function isMutating(request: messages.CallerRequest): boolean {
    return request.method !== "GET";
}
