/** Runs interactive requests on the workers of one rack, with retries of those that may be repeated. */
import * as crypto from "node:crypto";
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as peer from "../peer/index";
import * as result from "../result/index";
import type * as health from "./health";
import * as interactiveOutcome from "./interactiveOutcome";
import * as interactiveSlots from "./interactiveSlots";
import * as onceRunner from "./onceRunner";
import type * as rackBooks from "./rackBooks";
import type * as port from "./workerPort";
import type * as workerSession from "./workerSession";

export interface InteractiveRunner {
    run(req: peer.RunRequest): Promise<peer.RunReply>;
    /** Requests that wait for a slot. */
    getWaiting(): number;
    /** Requests under way, waiting ones included. */
    getActive(): number;
    /** Something was freed: let waiting requests try again. */
    wake(): void;
    /** The rack is given up: waiting and new requests are sent to its next owner; those at a worker go on. */
    close(): void;
}

export interface InteractiveRunnerOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly counters: observe.Counters;
    readonly books: rackBooks.RackBooks;
    readonly health: health.WorkerHealth;
    readonly sessions: ReadonlyMap<string, workerSession.WorkerSession>;
    readonly isDrained: (workerId: string) => boolean;
    readonly getQueueLimit: () => number;
    /** Length of a task's lease beyond its deadline. */
    readonly leaseMs: number;
}

/** Other workers that a repeatable request is sent to after the first. */
const MAX_RETRIES = 2;
/** Retries allowed for each request that succeeded at once, so that a failing rack is not hit with three times its load. */
const RETRY_RATIO = 0.2;
const RETRY_BUDGET = 20;

export function createInteractiveRunner(options: InteractiveRunnerOptions): InteractiveRunner {
    const { clock: time, counters } = options;
    const slots = interactiveSlots.createInteractiveSlots(options);
    const toOutcome = interactiveOutcome.createOutcomeReader(options);
    let active = 0;
    let retryTokens = RETRY_BUDGET;

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
        /** An earlier try ran, or may have. */
        let ran = false;
        const conclude = (outcome: interactiveOutcome.RunOutcome): interactiveOutcome.RunOutcome =>
            ran && outcome.$case === "refusal" && outcome.value.ran === "no"
                ? { $case: "refusal", value: { ...outcome.value, ran: "unknown" } }
                : outcome;
        for (let attempt = 0; attempt <= MAX_RETRIES; attempt++) {
            const slot = await slots.waitForSlot(req.needs!, excluded, undefined, deadline);
            if (!slot) {
                return conclude(ran ? last : slots.shed(deadline));
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
                ran = true;
                if (last.$case === "answer") {
                    retryTokens = Math.min(RETRY_BUDGET, retryTokens + RETRY_RATIO);
                    return last;
                }
            }
            else {
                const started = answered.fault.kind === "lost";
                ran = ran || started;
                counters.increment(`interactive.${answered.fault.kind}`);
                last = started
                    ? interactiveOutcome.refusal(result.ResultCode.DeadlineExceeded, "the worker did not answer")
                    : interactiveOutcome.refusal(
                        result.ResultCode.WorkerUnavailable,
                        `the worker refused: ${answered.fault.kind}`,
                    );
                if (started) {
                    abandon(session, taskId);
                }
            }
            excluded.add(session.workerId);
            if (time.now() >= deadline || retryTokens < 1) {
                break;
            }
            retryTokens--;
            counters.increment("interactive.retried");
        }
        return conclude(last);
    };

    /** Stops a task nobody waits for any more, so that it does not hold its slot until its lease lapses. */
    const abandon = (session: workerSession.WorkerSession, taskId: string) => {
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
