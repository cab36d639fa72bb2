/** Sends interactive requests to the owners of racks and retries them on other racks while that is safe. */
import * as crypto from "node:crypto";
import type * as clock from "../clock/index";
import type * as configuration from "../configuration/index";
import type * as observe from "../observe/index";
import type * as peer from "../peer/index";
import type * as random from "../random/index";
import * as result from "../result/index";
import * as workers from "../workers/index";
import type * as homesModule from "./homes";
import type * as submission from "./submission";

/** Router of interactive requests. */
export interface InteractiveRouter {
    /** Runs the request until its deadline; a refusal never claims that work did not run if it may have run. */
    run(
        account: configuration.Account,
        submitted: submission.Submission,
        defaultDeadlineMs: number,
    ): Promise<InteractiveOutcome>;
}

/** Outcome of an interactive request: an answer, a failure of its work, or a refusal. */
export type InteractiveOutcome =
    | { readonly kind: "done"; readonly requestId: string; readonly body: Uint8Array; }
    | { readonly kind: "failed"; readonly requestId: string; readonly message: string; }
    | { readonly kind: "refused"; readonly requestId: string; readonly refusal: result.Refusal; };

/** Options of `createInteractiveRouter`. */
export interface InteractiveRouterOptions {
    readonly zone: string;
    readonly clock: clock.Clock;
    readonly rng: random.Random;
    readonly counters: observe.Counters;
    readonly homes: homesModule.Homes;
    readonly getTopology: () => configuration.Topology | undefined;
    /** Whether this instance owns the rack. */
    readonly isOwnRack: (rackId: string) => boolean;
    /** Load last reported by the rack's owner; `undefined` if there is no report. */
    readonly getRackLoad: (rackId: string) => peer.RackLoad | undefined;
    /** Sends the request to the instance that owns the rack; resolves to `undefined` if there was no reply. */
    readonly send: (rackId: string, req: peer.RunRequest, timeoutMs: number) => Promise<peer.RunReply | undefined>;
    /** Claims a request id in the table service, for accounts configured so; true if it was not claimed before. */
    readonly claimRow: (account: string, requestId: string) => Promise<result.Result<boolean>>;
}

const SLOTS_PER_REQUEST = 1;
/** Minimum number of free slots at which a rack of this instance is preferred to all others. */
const MIN_FREE_SLOTS = 3;
/** Maximum number of ids drawn to find one whose home is in a rack of this instance. */
const MAX_ID_DRAWS = 8;
const RETRY_DELAY_MS = 50;
/** Maximum number of racks that a repeatable request is sent to. */
const MAX_RACKS = 4;
/** Maximum number of new ids tried for a request that may run at most once, while the homes are unavailable. */
const MAX_REQUEST_IDS = 4;
/** Codes after which the request may be sent to another rack, because the work did not run. */
const RETRYABLE_CODES: readonly number[] = [
    result.ResultCode.NotOwner,
    result.ResultCode.NoCapacity,
    result.ResultCode.QueueFull,
    result.ResultCode.WorkerUnavailable,
    result.ResultCode.Leaving,
];

/** Creates the router of this instance. */
export function createInteractiveRouter(options: InteractiveRouterOptions): InteractiveRouter {
    const { clock: time, counters, rng } = options;

    const createRequest = (
        account: configuration.Account,
        submitted: submission.Submission,
        requestId: string,
        deadline: number,
    ): peer.RunRequest => ({
        rackId: "",
        requestId,
        account: account.name,
        needs: {
            accelerators: 0,
            slots: SLOTS_PER_REQUEST,
            cpus: submitted.cpusPerAccelerator,
            memoryMb: Math.ceil(submitted.memoryMbPerAccelerator),
        },
        payload: submitted.payload,
        deadlineInMs: deadline - time.now(),
        repeatable: submitted.repeatable,
        homeWorkerId: "",
        fresh: submitted.requestId === undefined,
    });

    /** Free slots less waiting requests; 0 if the rack's load is unknown. */
    const getFreeSlots = (rackId: string): number => {
        const load = options.getRackLoad(rackId);
        return load ? load.freeSlots - load.waiting : 0;
    };

    /**
     * Prefers racks of this instance with enough free slots, which saves a network hop. Otherwise picks the less loaded
     * of two random racks (power of two choices, Mitzenmacher 2001) in this zone, or in others if it has no free slot.
     */
    const pickRack = (excluded: ReadonlySet<string>): string | undefined => {
        const racks = (options.getTopology()?.racks ?? []).filter(rack => !excluded.has(rack.id));
        const ownRacks = racks.filter(rack => options.isOwnRack(rack.id) && getFreeSlots(rack.id) >= MIN_FREE_SLOTS);
        if (ownRacks.length > 0) {
            return rng.pick(ownRacks).id;
        }
        const inOwnZone = racks.filter(rack => rack.zone === options.zone);
        const hasFreeSlots = inOwnZone.some(rack => getFreeSlots(rack.id) > 0);
        const inOtherZones = racks.filter(rack => rack.zone !== options.zone && getFreeSlots(rack.id) > 0);
        const candidates = hasFreeSlots || inOtherZones.length === 0 ? inOwnZone : inOtherZones;
        if (candidates.length === 0) {
            return undefined;
        }
        const first = rng.pick(candidates).id;
        const second = rng.pick(candidates).id;
        return getFreeSlots(second) > getFreeSlots(first) ? second : first;
    };

    const runRepeatable = async (req: peer.RunRequest, deadline: number): Promise<InteractiveOutcome> => {
        const triedRacks = new Set<string>();
        let last = refused(req.requestId, result.ResultCode.OwnerUnavailable, "no rack could be reached");
        let mayHaveRun = false;
        while (triedRacks.size < MAX_RACKS && time.now() < deadline) {
            const rackId = pickRack(triedRacks);
            if (rackId === undefined) {
                break;
            }
            triedRacks.add(rackId);
            const timeoutMs = deadline - time.now();
            const reply = await options.send(rackId, { ...req, rackId, deadlineInMs: timeoutMs }, timeoutMs);
            if (!reply) {
                counters.increment("entry.ownerSilent");
                last = refused(req.requestId, result.ResultCode.DeadlineExceeded, "the rack's owner did not answer");
                mayHaveRun = true;
                continue;
            }
            last = readReply(reply, req.requestId);
            mayHaveRun = mayHaveRun || (last.kind === "refused" && last.refusal.ran !== "no");
            if (last.kind !== "refused" || !RETRYABLE_CODES.includes(last.refusal.code)) {
                break;
            }
        }
        return mayHaveRun ? withUnknownRan(last) : last;
    };

    /**
     * Sends the request to the owner of its home's rack until there is an outcome. Repeating it is safe, because the
     * home runs the id at most once and returns the same outcome for every submission.
     */
    const runOnce = async (req: peer.RunRequest, deadline: number): Promise<InteractiveOutcome> => {
        const home = options.homes.getHome(req.requestId);
        if (!home) {
            return refused(req.requestId, result.ResultCode.OwnerUnavailable, "the topology is not known yet");
        }
        let mayHaveRun = false;
        while (time.now() < deadline) {
            const timeoutMs = deadline - time.now();
            const message = { ...req, rackId: home.rackId, homeWorkerId: home.workerId, deadlineInMs: timeoutMs };
            const reply = await options.send(home.rackId, message, timeoutMs);
            const outcome = reply && readReply(reply, req.requestId);
            const isNotOwner = outcome?.kind === "refused" && outcome.refusal.code === result.ResultCode.NotOwner;
            if (outcome && !isNotOwner) {
                return mayHaveRun ? withUnknownRan(outcome) : outcome;
            }
            mayHaveRun = mayHaveRun || !reply;
            counters.increment("entry.homeRetried");
            await time.sleep(RETRY_DELAY_MS);
        }
        return mayHaveRun
            ? refused(
                req.requestId,
                result.ResultCode.Unresolved,
                "the home of this request id did not answer",
            )
            : refused(
                req.requestId,
                result.ResultCode.HomeUnavailable,
                "nobody owns the home of this request id",
            );
    };

    const runFreshOnce = async (req: peer.RunRequest, deadline: number): Promise<InteractiveOutcome> => {
        let outcome = await runOnce(req, deadline);
        for (let attempt = 1; attempt < MAX_REQUEST_IDS && isHomeUnavailable(outcome); attempt++) {
            // The refusal proves that the id never ran, and no caller knows the id, so another one may replace it.
            const requestId = createRequestId(false);
            outcome = await runOnce({ ...req, requestId }, deadline);
        }
        return outcome;
    };

    return {
        run: async (account, submitted, defaultDeadlineMs) => {
            const deadline = time.now() + (submitted.deadlineMs ?? defaultDeadlineMs);
            const requestId = submitted.requestId ?? createRequestId(submitted.repeatable);
            const req = createRequest(account, submitted, requestId, deadline);
            if (submitted.repeatable) {
                return runRepeatable(req, deadline);
            }
            switch (account.once.kind) {
                case "homeWorker":
                    return req.fresh ? runFreshOnce(req, deadline) : runOnce(req, deadline);
                case "claimRow": {
                    const claimed = await options.claimRow(account.name, requestId);
                    return claimed.ok
                        ? runOnce({ ...req, fresh: claimed.value }, deadline)
                        : { kind: "refused", requestId, refusal: claimed.refusal };
                }
            }
        },
    };

    function createRequestId(repeatable: boolean): string {
        if (repeatable) {
            return crypto.randomUUID();
        }
        let requestId = options.homes.createRequestId(options.zone);
        for (let draw = 1; draw < MAX_ID_DRAWS && !isHomeInOwnRack(requestId); draw++) {
            requestId = options.homes.createRequestId(options.zone);
        }
        return requestId;
    }

    function isHomeInOwnRack(requestId: string): boolean {
        const home = options.homes.getHome(requestId);
        return !!home && options.isOwnRack(home.rackId) && getFreeSlots(home.rackId) >= MIN_FREE_SLOTS;
    }

    /** Converts a reply; an answer that is incomplete or belongs to another request becomes a refusal. */
    function readReply(reply: peer.RunReply, requestId: string): InteractiveOutcome {
        if (reply.requestId !== requestId) {
            counters.increment("answers.crossed");
            return refused(requestId, result.ResultCode.AnswerInvalid, "the answer belonged to another request");
        }
        switch (reply.outcome?.$case) {
            case "answer": {
                const { body, digest } = reply.outcome.value;
                if (workers.getBodyDigest(body) !== digest) {
                    counters.increment("answers.truncated");
                    return refused(requestId, result.ResultCode.AnswerInvalid, "the answer was not whole");
                }
                return { kind: "done", requestId, body };
            }
            case "failure":
                return { kind: "failed", requestId, message: reply.outcome.value.message };
            case "refusal": {
                const { code, message, ran, retryAfterMs } = reply.outcome.value;
                const refusal = result.createRefusal(code as result.ResultCode, message, {
                    ran: ran as result.Ran,
                    retryAfterMs: retryAfterMs === 0 ? undefined : retryAfterMs,
                });
                return { kind: "refused", requestId, refusal };
            }
            case undefined:
                return refused(requestId, result.ResultCode.AnswerInvalid, "the answer was empty");
        }
    }
}

function isHomeUnavailable(outcome: InteractiveOutcome): boolean {
    return outcome.kind === "refused" && outcome.refusal.code === result.ResultCode.HomeUnavailable;
}

/**
 * Marks a refusal as one after which the work may have run. The refusal of a later attempt covers only that attempt; if
 * the answer of an earlier one was lost, "not run" could be wrong, which only the workers' records would show.
 */
function withUnknownRan(outcome: InteractiveOutcome): InteractiveOutcome {
    return outcome.kind === "refused" && outcome.refusal.ran === "no"
        ? { ...outcome, refusal: { ...outcome.refusal, ran: "unknown" } }
        : outcome;
}

const RETRY_AFTER_MS = 500;

function refused(requestId: string, code: result.ResultCode, message: string): InteractiveOutcome {
    return {
        kind: "refused",
        requestId,
        refusal: result.createRefusal(code, message, { retryAfterMs: RETRY_AFTER_MS }),
    };
}
