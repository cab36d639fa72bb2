/**
 * Runs a request at most once, without the table service. The home of a request id is the worker that it hashes to. The
 * request runs there under a task id derived from the request id, which the worker never runs twice. If the home has no
 * free slot, a tombstone at the home names another worker; only the first tombstone of a task id takes effect. A second
 * submission finds the task or the tombstone and gets the outcome of the first.
 */
import * as crypto from "node:crypto";
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as peer from "../peer/index";
import * as result from "../result/index";
import * as interactiveOutcome from "./interactiveOutcome";
import type * as interactiveSlots from "./interactiveSlots";
import type * as port from "./workerPort";
import type * as workerSession from "./workerSession";

type RunOutcome = interactiveOutcome.RunOutcome;

/** Options of `createOnceRunner`. */
export interface OnceRunnerOptions {
    readonly clock: clock.Clock;
    readonly counters: observe.Counters;
    readonly sessions: ReadonlyMap<string, workerSession.WorkerSession>;
    readonly slots: interactiveSlots.InteractiveSlots;
    readonly toOutcome: interactiveOutcome.OutcomeReader;
    createOrder(req: peer.RunRequest, taskId: string, deadline: number): port.TaskOrder;
}

/** Interval between requests to a worker for the outcome of a task. */
const OUTCOME_POLL_INTERVAL_MS = 100;
const RETRY_AFTER_MS = 500;

/** Creates a runner for the requests that may run at most once. */
export function createOnceRunner(options: OnceRunnerOptions) {
    const { clock: time, counters, sessions, slots, toOutcome, createOrder } = options;
    const { refusal, isInvalidAnswer } = interactiveOutcome;

    const runOnce = async (req: peer.RunRequest, deadline: number): Promise<RunOutcome> => {
        const home = sessions.get(req.homeWorkerId);
        const taskId = getOnceTaskId(req.account, req.requestId);
        if (slots.isClosed()) {
            return slots.createRefusal(deadline);
        }
        if (!home?.isReady()) {
            return refusal(
                result.ResultCode.HomeUnavailable,
                "the worker that guards this request id is unreachable",
                RETRY_AFTER_MS,
            );
        }
        if (!req.fresh && home.getIncarnation() > 1) {
            // A restarted worker has lost its record of what it ran, so an id used before the restart could run twice.
            counters.increment("interactive.homeForgot");
            return refusal(
                result.ResultCode.HomeUnavailable,
                "the worker that guards this request id was restarted",
                RETRY_AFTER_MS,
            );
        }
        const slot = await slots.waitForSlot(req.needs!, new Set(), home.workerId, deadline);
        if (!slot) {
            return slots.createRefusal(deadline);
        }
        try {
            if (slot.session === home) {
                return await runToOutcome(home, createOrder(req, taskId, deadline), deadline);
            }
            return await runOnOtherWorker(req, home, slot.session, taskId, deadline);
        }
        finally {
            slot.free();
        }
    };

    const runOnOtherWorker = async (
        req: peer.RunRequest,
        home: workerSession.WorkerSession,
        other: workerSession.WorkerSession,
        taskId: string,
        deadline: number,
    ): Promise<RunOutcome> => {
        const token = home.getToken();
        if (token === undefined) {
            return refusal(
                result.ResultCode.HomeUnavailable,
                "the worker that guards this request id is unreachable",
                RETRY_AFTER_MS,
            );
        }
        const claim = `${other.workerId}/${crypto.randomUUID()}`;
        const claimed = await home.client.stop(token, taskId, "tombstone", claim);
        if (claimed.kind === "fault") {
            // A later submission may find this claim if it took effect, so the task is prevented from starting there.
            return resolveOutcome(other, taskId, deadline);
        }
        const status = claimed.value;
        if (status.state !== "tombstoned") {
            return runToOutcome(home, createOrder(req, taskId, deadline), deadline);
        }
        if (status.note !== claim) {
            const chosen = sessions.get(status.note.slice(0, status.note.lastIndexOf("/")));
            return chosen
                ? resolveOutcome(chosen, taskId, deadline)
                : refusal(
                    result.ResultCode.Unresolved,
                    "an earlier submission of this request id is under way",
                    RETRY_AFTER_MS,
                );
        }
        return runToOutcome(other, createOrder(req, taskId, deadline), deadline);
    };

    /** Sends the task; if the answer is lost or invalid, asks the worker for the outcome. */
    const runToOutcome = async (
        session: workerSession.WorkerSession,
        order: port.TaskOrder,
        deadline: number,
    ): Promise<RunOutcome> => {
        const token = session.getToken();
        if (token === undefined) {
            return refusal(
                result.ResultCode.WorkerUnavailable,
                "the worker's lease lapsed",
                RETRY_AFTER_MS,
            );
        }
        const answered = await session.client.run(token, order, Math.max(1, deadline - time.now()));
        if (answered.kind === "ok") {
            const outcome = toOutcome(answered.value, order.taskId, session.workerId);
            return isInvalidAnswer(outcome) ? resolveOutcome(session, order.taskId, deadline) : outcome;
        }
        switch (answered.fault.kind) {
            case "lost":
                counters.increment("interactive.lost");
                return resolveOutcome(session, order.taskId, deadline);
            case "tombstoned":
                return refusal(
                    result.ResultCode.WorkerUnavailable,
                    "an earlier submission was barred before it started",
                    RETRY_AFTER_MS,
                );
            case "held":
            case "staleToken":
            case "noRoom":
            case "unknownTask":
            case "notEnded":
            case "unreachable":
                return refusal(
                    result.ResultCode.WorkerUnavailable,
                    `the worker refused: ${answered.fault.kind}`,
                    RETRY_AFTER_MS,
                );
        }
    };

    /** Polls the worker for the outcome until the deadline; a task that has not started is prevented from starting. */
    const resolveOutcome = async (
        session: workerSession.WorkerSession,
        taskId: string,
        deadline: number,
    ): Promise<RunOutcome> => {
        while (time.now() < deadline) {
            const known = await session.client.getOutcome(taskId);
            const token = session.getToken();
            const outcome = known.kind === "ok"
                ? toOutcome(known.value, taskId, session.workerId)
                : known.fault.kind === "unknownTask" && token !== undefined
                ? await preventStart(session, token, taskId)
                : undefined;
            if (outcome && !isInvalidAnswer(outcome)) {
                return outcome;
            }
            await time.sleep(OUTCOME_POLL_INTERVAL_MS);
        }
        counters.increment("interactive.unresolved");
        return refusal(result.ResultCode.Unresolved, "the worker did not say whether the work ran", RETRY_AFTER_MS);
    };

    const preventStart = async (
        session: workerSession.WorkerSession,
        token: number,
        taskId: string,
    ): Promise<RunOutcome | undefined> => {
        const stopped = await session.client.stop(token, taskId, "tombstone", "");
        if (stopped.kind === "fault") {
            return undefined;
        }
        switch (stopped.value.state) {
            case "tombstoned":
                return refusal(
                    result.ResultCode.WorkerUnavailable,
                    "the work was proven not to have started",
                    RETRY_AFTER_MS,
                );
            case "failed":
                return { $case: "failure", value: { message: stopped.value.message } };
            case "stopped":
                return refusal(result.ResultCode.DeadlineExceeded, "the work was stopped while it ran");
            case "finished":
            case "prepared":
            case "running":
                return undefined;
        }
    };

    return { runOnce };
}

/** Task id of a request that may run at most once; depends on the account and the request id only. */
export function getOnceTaskId(account: string, requestId: string): string {
    return `o.${crypto.createHash("sha256").update(`${account}\n${requestId}`).digest("hex").slice(0, 40)}`;
}
