/**
 * Runs a request at most once, without the table service. The worker that the request id hashes to is its home. The
 * request runs there under a task id made of the request id, which the worker never runs twice; or, when the home has
 * no room, a tombstone at the home names the other worker, and the first to leave it wins. A second submission finds
 * the task or the tombstone and gets the first one's outcome.
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

export interface OnceRunnerOptions {
    readonly clock: clock.Clock;
    readonly counters: observe.Counters;
    readonly sessions: ReadonlyMap<string, workerSession.WorkerSession>;
    readonly slots: interactiveSlots.InteractiveSlots;
    readonly toOutcome: interactiveOutcome.OutcomeReader;
    createOrder(req: peer.RunRequest, taskId: string, deadline: number): port.TaskOrder;
}

/** Between two questions to a worker that does not say yet what became of a task. */
const RESOLVE_PAUSE_MS = 100;
const RETRY_AFTER_MS = 500;

export function createOnceRunner(options: OnceRunnerOptions) {
    const { clock: time, counters, sessions, slots, toOutcome, createOrder } = options;
    const { refusal, isInvalidAnswer } = interactiveOutcome;

    const runOnce = async (req: peer.RunRequest, deadline: number): Promise<RunOutcome> => {
        const home = sessions.get(req.homeWorkerId);
        const taskId = getOnceTaskId(req.account, req.requestId);
        if (slots.isClosed()) {
            return slots.shed(deadline);
        }
        if (!home?.isReady()) {
            return refusal(
                result.ResultCode.HomeUnavailable,
                "the worker that guards this request id is unreachable",
                RETRY_AFTER_MS,
            );
        }
        if (!req.fresh && home.getIncarnation() > 1) {
            // A restarted worker has forgotten what it ran; an id that was used before its restart could run twice.
            counters.increment("interactive.homeForgot");
            return refusal(
                result.ResultCode.HomeUnavailable,
                "the worker that guards this request id was restarted",
                RETRY_AFTER_MS,
            );
        }
        const slot = await slots.waitForSlot(req.needs!, new Set(), home.workerId, deadline);
        if (!slot) {
            return slots.shed(deadline);
        }
        try {
            if (slot.session === home) {
                return await runToTruth(home, createOrder(req, taskId, deadline), deadline);
            }
            return await runElsewhere(req, home, slot.session, taskId, deadline);
        }
        finally {
            slot.free();
        }
    };

    const runElsewhere = async (
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
            // The claim may have been left; whoever asks again finds it, and the other worker is told never to start.
            return resolve(other, taskId, deadline);
        }
        const status = claimed.value;
        if (status.state !== "tombstoned") {
            return runToTruth(home, createOrder(req, taskId, deadline), deadline);
        }
        if (status.note !== claim) {
            const chosen = sessions.get(status.note.slice(0, status.note.lastIndexOf("/")));
            return chosen
                ? resolve(chosen, taskId, deadline)
                : refusal(
                    result.ResultCode.Unresolved,
                    "an earlier submission of this request id is under way",
                    RETRY_AFTER_MS,
                );
        }
        return runToTruth(other, createOrder(req, taskId, deadline), deadline);
    };

    /** Sends the task, and when the answer is lost finds out from the worker what became of it. */
    const runToTruth = async (
        session: workerSession.WorkerSession,
        order: port.TaskOrder,
        deadline: number,
    ): Promise<RunOutcome> => {
        const token = session.getToken();
        if (token === undefined) {
            return refusal(result.ResultCode.WorkerUnavailable, "the worker's lease lapsed", RETRY_AFTER_MS);
        }
        const answered = await session.client.run(token, order, Math.max(1, deadline - time.now()));
        if (answered.kind === "ok") {
            const outcome = toOutcome(answered.value, order.taskId, session.workerId);
            return isInvalidAnswer(outcome) ? resolve(session, order.taskId, deadline) : outcome;
        }
        switch (answered.fault.kind) {
            case "lost":
                counters.increment("interactive.lost");
                return resolve(session, order.taskId, deadline);
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

    /** Asks the worker until the deadline what became of the task; one that never started is barred from starting. */
    const resolve = async (
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
                ? await bar(session, token, taskId)
                : undefined;
            if (outcome && !isInvalidAnswer(outcome)) {
                return outcome;
            }
            await time.sleep(RESOLVE_PAUSE_MS);
        }
        counters.increment("interactive.unresolved");
        return refusal(result.ResultCode.Unresolved, "the worker did not say whether the work ran", RETRY_AFTER_MS);
    };

    const bar = async (
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

/** The same for every submission of the same request id by the same account. */
export function getOnceTaskId(account: string, requestId: string): string {
    return `o.${crypto.createHash("sha256").update(`${account}\n${requestId}`).digest("hex").slice(0, 40)}`;
}
