/** Runs interactive requests on the workers of one rack and retries repeatable ones on other workers. */
import * as crypto from "node:crypto";
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as peer from "../peer/index";
import * as result from "../result/index";
import type * as health from "./health";
import * as interactiveOutcome from "./interactiveOutcome";
import * as interactiveSlots from "./interactiveSlots";
import * as onceRunner from "./onceRunner";
import type * as rackAllocations from "./rackAllocations";
import type * as port from "./workerPort";
import type * as workerSession from "./workerSession";

/** Interactive requests of one rack. */
export interface InteractiveRunner {
    /** Runs a request; resolves to an answer, a failure or a refusal. */
    run(req: peer.RunRequest): Promise<peer.RunReply>;
    /** Number of requests that wait for a slot. */
    getWaiting(): number;
    /** Number of requests in progress, including those that wait for a slot. */
    getActive(): number;
    /** Assigns slots that became free to waiting requests. */
    wake(): void;
    /** Refuses waiting and new requests, which belong to the rack's next owner; requests at a worker continue. */
    close(): void;
}

/** Options of `createInteractiveRunner`. */
export interface InteractiveRunnerOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly counters: observe.Counters;
    readonly allocations: rackAllocations.RackAllocations;
    readonly health: health.WorkerHealth;
    readonly sessions: ReadonlyMap<string, workerSession.WorkerSession>;
    readonly isDrained: (workerId: string) => boolean;
    /** Maximum number of requests that wait for a slot. */
    readonly getQueueLimit: () => number;
    /** Time by which a task's lease outlasts its deadline. */
    readonly leaseMs: number;
}

/** Maximum number of further workers that a repeatable request is sent to. */
const MAX_RETRIES = 2;
/** Limits retries to a share of successes; with `MAX_RETRIES` alone a failing rack would get three times its load. */
const RETRY_TOKENS_PER_SUCCESS = 0.2;
const MAX_RETRY_TOKENS = 20;

/** Creates a runner without any requests. */
export function createInteractiveRunner(options: InteractiveRunnerOptions): InteractiveRunner {
    const { clock: time, counters } = options;
    const slots = interactiveSlots.createInteractiveSlots(options);
    const toOutcome = interactiveOutcome.createOutcomeReader(options);
    let active = 0;
    let retryTokens = MAX_RETRY_TOKENS;

    const createOrder = (req: peer.RunRequest, taskId: string, deadline: number): port.TaskOrder => ({
        taskId,
        account: req.account,
        needs: req.needs!,
        queueZone: "",
        note: "",
        payload: req.payload,
        leaseMs: deadline - time.now() + options.leaseMs,
        resumeMs: 0,
        start: true,
    });

    const runRepeatable = async (req: peer.RunRequest, deadline: number): Promise<interactiveOutcome.RunOutcome> => {
        const excluded = new Set<string>();
        let last: interactiveOutcome.RunOutcome = interactiveOutcome.refusal(
            result.ResultCode.NoCapacity,
            "no healthy worker has a free slot",
        );
        /** Whether an earlier attempt ran or may have run; a later refusal must then not claim that nothing ran. */
        let mayHaveRun = false;
        const withRan = (outcome: interactiveOutcome.RunOutcome): interactiveOutcome.RunOutcome =>
            mayHaveRun && outcome.$case === "refusal" && outcome.value.ran === "no"
                ? { $case: "refusal", value: { ...outcome.value, ran: "unknown" } }
                : outcome;
        for (let attempt = 0; attempt <= MAX_RETRIES; attempt++) {
            const slot = await slots.waitForSlot(req.needs!, excluded, undefined, deadline);
            if (!slot) {
                return withRan(mayHaveRun ? last : slots.createRefusal(deadline));
            }
            const { session } = slot;
            const token = session.getToken();
            const taskId = `i.${crypto.randomUUID()}`;
            if (token === undefined) {
                slot.free();
                excluded.add(session.workerId);
                continue;
            }
            const order = createOrder(req, taskId, deadline);
            const answered = await session.client.run(token, order, Math.max(1, deadline - time.now()));
            slot.free();
            if (answered.kind === "ok") {
                last = toOutcome(answered.value, taskId, session.workerId);
                mayHaveRun = true;
                if (last.$case === "answer") {
                    retryTokens = Math.min(MAX_RETRY_TOKENS, retryTokens + RETRY_TOKENS_PER_SUCCESS);
                    return last;
                }
            }
            else {
                const wasSent = answered.fault.kind === "lost";
                mayHaveRun = mayHaveRun || wasSent;
                counters.increment(`interactive.${answered.fault.kind}`);
                last = wasSent
                    ? interactiveOutcome.refusal(result.ResultCode.DeadlineExceeded, "the worker did not answer")
                    : interactiveOutcome.refusal(
                        result.ResultCode.WorkerUnavailable,
                        `the worker refused: ${answered.fault.kind}`,
                    );
                if (wasSent) {
                    stopAbandonedTask(session, taskId);
                }
            }
            excluded.add(session.workerId);
            if (time.now() >= deadline || retryTokens < 1) {
                break;
            }
            retryTokens--;
            counters.increment("interactive.retried");
        }
        return withRan(last);
    };

    /** Stops a task whose answer nobody awaits, which would otherwise occupy its slot until its lease expires. */
    const stopAbandonedTask = (session: workerSession.WorkerSession, taskId: string) => {
        const token = session.getToken();
        if (token !== undefined) {
            session.client.stop(token, taskId, "tombstone", "").catch((err: unknown) => {
                options.log.info("abandonedTaskNotStopped", { task: taskId, why: String(err) });
            });
        }
    };

    const once = onceRunner.createOnceRunner({ ...options, slots, toOutcome, createOrder });

    return {
        run: async req => {
            active++;
            const deadline = time.now() + req.deadlineInMs;
            try {
                const outcome = req.repeatable ? await runRepeatable(req, deadline) : await once.runOnce(req, deadline);
                return { requestId: req.requestId, outcome };
            }
            finally {
                active--;
            }
        },
        getWaiting: slots.getWaiting,
        getActive: () => active,
        wake: slots.wake,
        close: slots.close,
    };
}
