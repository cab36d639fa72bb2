/** Sends an interactive request to the owner of a rack, and tries others while that is safe. */
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

export interface InteractiveRouter {
    /** Runs the request to a truthful outcome before its deadline. */
    run(
        account: configuration.Account,
        submitted: submission.Submission,
        defaultDeadlineMs: number,
    ): Promise<InteractiveOutcome>;
}

export type InteractiveOutcome =
    | { readonly kind: "done"; readonly requestId: string; readonly body: Uint8Array; }
    | { readonly kind: "failed"; readonly requestId: string; readonly message: string; }
    | { readonly kind: "refused"; readonly requestId: string; readonly refusal: result.Refusal; };

export interface InteractiveRouterOptions {
    readonly zone: string;
    readonly clock: clock.Clock;
    readonly rng: random.Random;
    readonly counters: observe.Counters;
    readonly homes: homesModule.Homes;
    readonly getTopology: () => configuration.Topology | undefined;
    readonly isOwnRack: (rackId: string) => boolean;
    /** What the rack's owner last said of its load; `undefined` when nothing was heard. */
    readonly getRackLoad: (rackId: string) => peer.RackLoad | undefined;
    /** Sends to the instance that owns the rack; `undefined` when no answer came. */
    readonly send: (rackId: string, req: peer.RunRequest, timeoutMs: number) => Promise<peer.RunReply | undefined>;
    /** Claims a request id in the table service, for accounts that chose this. True: nobody claimed it before. */
    readonly claimRow: (account: string, requestId: string) => Promise<result.Result<boolean>>;
}

const NEEDS_SLOTS = 1;
/** Free slots from which an own rack is taken without a look at others. */
const ENOUGH_ROOM = 3;
/** Ids drawn in search of one whose home lies in an own rack. */
const MAX_DRAWS = 8;
const RETRY_PAUSE_MS = 50;
/** Racks tried for one repeatable request. */
const MAX_RACKS = 4;
/** Fresh ids tried for one request that may run only once, when homes are out of reach. */
const MAX_FRESH_IDS = 4;
/** Codes after which another rack may be tried: the work certainly did not run. */
const TRY_ELSEWHERE: readonly number[] = [
    result.ResultCode.NotOwner,
    result.ResultCode.NoCapacity,
    result.ResultCode.QueueFull,
    result.ResultCode.WorkerUnavailable,
    result.ResultCode.Leaving,
];

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
            slots: NEEDS_SLOTS,
            cpus: submitted.cpusPerAccelerator,
            memoryMb: Math.ceil(submitted.memoryMbPerAccelerator),
        },
        payload: submitted.payload,
        deadlineInMs: deadline - time.now(),
        repeatable: submitted.repeatable,
        homeWorkerId: "",
        fresh: submitted.requestId === undefined,
    });

    const getRoom = (rackId: string): number => {
        const load = options.getRackLoad(rackId);
        return load ? load.freeSlots - load.waiting : 0;
    };

    /**
     * An own rack while it has room, which saves a hop; else the better of two random racks (Mitzenmacher 2001) of the
     * own zone; else of other zones.
     */
    const pickRack = (excluded: ReadonlySet<string>): string | undefined => {
        const racks = (options.getTopology()?.racks ?? []).filter(rack => !excluded.has(rack.id));
        const own = racks.filter(rack => options.isOwnRack(rack.id) && getRoom(rack.id) >= ENOUGH_ROOM);
        if (own.length > 0) {
            return rng.pick(own).id;
        }
        const near = racks.filter(rack => rack.zone === options.zone);
        const hasRoom = near.some(rack => getRoom(rack.id) > 0);
        const far = racks.filter(rack => rack.zone !== options.zone && getRoom(rack.id) > 0);
        const candidates = hasRoom || far.length === 0 ? near : far;
        if (candidates.length === 0) {
            return undefined;
        }
        const first = rng.pick(candidates).id;
        const second = rng.pick(candidates).id;
        return getRoom(second) > getRoom(first) ? second : first;
    };

    const runRepeatable = async (req: peer.RunRequest, deadline: number): Promise<InteractiveOutcome> => {
        const tried = new Set<string>();
        let last = refused(req.requestId, result.ResultCode.OwnerUnavailable, "no rack could be reached");
        let mayHaveRun = false;
        while (tried.size < MAX_RACKS && time.now() < deadline) {
            const rackId = pickRack(tried);
            if (rackId === undefined) {
                break;
            }
            tried.add(rackId);
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
            if (last.kind !== "refused" || !TRY_ELSEWHERE.includes(last.refusal.code)) {
                break;
            }
        }
        return mayHaveRun ? withDoubt(last) : last;
    };

    /**
     * Sends the same request to the owner of its home's rack until there is an outcome. Repeating is safe: the home runs
     * the id at most once and gives every submission the same outcome.
     */
    const runOnce = async (req: peer.RunRequest, deadline: number): Promise<InteractiveOutcome> => {
        const home = options.homes.getHome(req.requestId);
        if (!home) {
            return refused(req.requestId, result.ResultCode.OwnerUnavailable, "the topology is not known yet");
        }
        let sent = false;
        while (time.now() < deadline) {
            const timeoutMs = deadline - time.now();
            const message = { ...req, rackId: home.rackId, homeWorkerId: home.workerId, deadlineInMs: timeoutMs };
            const reply = await options.send(home.rackId, message, timeoutMs);
            const outcome = reply && readReply(reply, req.requestId);
            const isNotOwner = outcome?.kind === "refused" && outcome.refusal.code === result.ResultCode.NotOwner;
            if (outcome && !isNotOwner) {
                return sent ? withDoubt(outcome) : outcome;
            }
            sent = sent || !reply;
            counters.increment("entry.homeRetried");
            await time.sleep(RETRY_PAUSE_MS);
        }
        return sent
            ? refused(req.requestId, result.ResultCode.Unresolved, "the home of this request id did not answer")
            : refused(req.requestId, result.ResultCode.HomeUnavailable, "nobody owns the home of this request id");
    };

    const runFreshOnce = async (req: peer.RunRequest, deadline: number): Promise<InteractiveOutcome> => {
        let outcome = await runOnce(req, deadline);
        for (let attempt = 1; attempt < MAX_FRESH_IDS && isHomeUnavailable(outcome); attempt++) {
            // The refusal proves that the id never ran, and nobody else knows it: another id may take its place.
            const requestId = createId(false);
            outcome = await runOnce({ ...req, requestId }, deadline);
        }
        return outcome;
    };

    return {
        run: async (account, submitted, defaultDeadlineMs) => {
            const deadline = time.now() + (submitted.deadlineMs ?? defaultDeadlineMs);
            const requestId = submitted.requestId ?? createId(submitted.repeatable);
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

    function createId(repeatable: boolean): string {
        if (repeatable) {
            return crypto.randomUUID();
        }
        let requestId = options.homes.createRequestId(options.zone);
        for (let draw = 1; draw < MAX_DRAWS && !isHomeOwn(requestId); draw++) {
            requestId = options.homes.createRequestId(options.zone);
        }
        return requestId;
    }

    function isHomeOwn(requestId: string): boolean {
        const home = options.homes.getHome(requestId);
        return !!home && options.isOwnRack(home.rackId) && getRoom(home.rackId) >= ENOUGH_ROOM;
    }

    /** An answer that belongs to another request, or is not whole, never reaches the caller. */
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
 * The refusal of a later try says only that this try did not run. After a try whose answer was lost, passing it on as it
 * is would call work "not run" that may have run; one would see it in the workers' records alone.
 */
function withDoubt(outcome: InteractiveOutcome): InteractiveOutcome {
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
