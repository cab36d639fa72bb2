/** Runs interactive requests on the workers of one rack: waiting line, choice of worker, retries, at-most-once. */
import * as crypto from "node:crypto";
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as peer from "../peer/index";
import * as placement from "../placement/index";
import * as result from "../result/index";
import * as answerCheck from "./answerCheck";
import type * as health from "./health";
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

interface Waiter {
    readonly needs: placement.Needs;
    readonly excluded: ReadonlySet<string>;
    readonly preferred: string | undefined;
    readonly resolve: (slot: Slot | undefined) => void;
    done: boolean;
}

/** A worker on which the request is counted; `free` gives it back. */
interface Slot {
    readonly session: workerSession.WorkerSession;
    readonly free: () => void;
}

type RunOutcome = Exclude<peer.RunReply["outcome"], undefined>;

/** Other workers that a repeatable request is sent to after the first. */
const MAX_RETRIES = 2;
/** Retries allowed for each request that succeeded at once, so that a failing rack is not hit with three times its load. */
const RETRY_RATIO = 0.2;
const RETRY_BUDGET = 20;
const RETRY_AFTER_MS = 500;
const RESOLVE_PAUSE_MS = 100;

export function createInteractiveRunner(options: InteractiveRunnerOptions): InteractiveRunner {
    const { clock: time, counters, books, sessions } = options;
    const waiters: Waiter[] = [];
    let active = 0;
    let closed = false;
    let retryTokens = RETRY_BUDGET;

    const isCandidate = (session: workerSession.WorkerSession, needs: placement.Needs, excluded: ReadonlySet<string>) =>
        session.isReady()
        && !excluded.has(session.workerId)
        && !options.isDrained(session.workerId)
        && options.health.isUsable(session.workerId)
        && placement.fitsWithin(needs, books.getFree(session));

    const pickSession = (needs: placement.Needs, excluded: ReadonlySet<string>, preferred: string | undefined) => {
        let best: workerSession.WorkerSession | undefined;
        let bestLoad = Infinity;
        for (const session of sessions.values()) {
            if (!isCandidate(session, needs, excluded)) {
                continue;
            }
            const load = session.workerId === preferred ? -1 : books.getInteractive(session.workerId);
            if (load < bestLoad) {
                best = session;
                bestLoad = load;
            }
        }
        return best;
    };

    const takeSlot = (session: workerSession.WorkerSession, needs: placement.Needs): Slot => {
        const undo = books.registerInteractive(session.workerId, needs);
        return {
            session,
            free: () => {
                undo();
                wake();
            },
        };
    };

    const wake = () => {
        for (const waiter of [...waiters]) {
            const session = pickSession(waiter.needs, waiter.excluded, waiter.preferred);
            if (session) {
                waiters.splice(waiters.indexOf(waiter), 1);
                waiter.done = true;
                waiter.resolve(takeSlot(session, waiter.needs));
            }
        }
    };

    /** A slot now, or the first that becomes free before the deadline; `undefined` when the line is full or time is up. */
    const waitForSlot = (
        needs: placement.Needs,
        excluded: ReadonlySet<string>,
        preferred: string | undefined,
        deadline: number,
    ): Promise<Slot | undefined> => {
        if (closed) {
            return Promise.resolve(undefined);
        }
        const session = pickSession(needs, excluded, preferred);
        if (session) {
            return Promise.resolve(takeSlot(session, needs));
        }
        if (waiters.length >= options.getQueueLimit()) {
            counters.increment("interactive.shed");
            return Promise.resolve(undefined);
        }
        return new Promise(resolve => {
            const waiter: Waiter = { needs, excluded, preferred, resolve, done: false };
            waiters.push(waiter);
            time.setTimer(Math.max(0, deadline - time.now()), () => {
                if (!waiter.done) {
                    waiter.done = true;
                    waiters.splice(waiters.indexOf(waiter), 1);
                    resolve(undefined);
                }
            });
        });
    };

    /** Why a request got no slot. */
    const shed = (deadline: number): RunOutcome => {
        if (closed) {
            return refusal(result.ResultCode.NotOwner, "the rack has just been given up");
        }
        return time.now() >= deadline
            ? refusal(result.ResultCode.DeadlineTooSoon, "no slot became free before the deadline", RETRY_AFTER_MS)
            : refusal(result.ResultCode.QueueFull, "the queue of interactive requests is full", RETRY_AFTER_MS);
    };

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

    /** Takes an outcome of the worker as an answer to the request, if it is one. */
    const toOutcome = (outcome: port.RunOutcome, taskId: string, workerId: string): RunOutcome => {
        switch (outcome.kind) {
            case "finished": {
                const check = answerCheck.checkAnswer(outcome.answer, taskId);
                if (check !== "whole") {
                    counters.increment(`answers.${check}`);
                    return refusal(result.ResultCode.AnswerInvalid, `the answer was ${check}`);
                }
                options.health.recordSuccess(workerId);
                return { $case: "answer", value: toAnswer(outcome.answer) };
            }
            case "failed":
                options.health.recordFailure(workerId, taskId);
                return { $case: "failure", value: { message: outcome.message } };
            case "stopped":
                return refusal(result.ResultCode.DeadlineExceeded, "the work was stopped at its deadline");
        }
    };

    const runRepeatable = async (req: peer.RunRequest, deadline: number): Promise<RunOutcome> => {
        const excluded = new Set<string>();
        let last: RunOutcome = refusal(result.ResultCode.NoCapacity, "no healthy worker has a free slot");
        /** An earlier try ran, or may have. */
        let ran = false;
        const conclude = (outcome: RunOutcome): RunOutcome =>
            ran && outcome.$case === "refusal" && outcome.value.ran === "no"
                ? { $case: "refusal", value: { ...outcome.value, ran: "unknown" } }
                : outcome;
        for (let attempt = 0; attempt <= MAX_RETRIES; attempt++) {
            const slot = await waitForSlot(req.needs!, excluded, undefined, deadline);
            if (!slot) {
                return conclude(ran ? last : shed(deadline));
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
                    ? refusal(result.ResultCode.DeadlineExceeded, "the worker did not answer")
                    : refusal(result.ResultCode.WorkerUnavailable, `the worker refused: ${answered.fault.kind}`);
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

    /**
     * Runs a request at most once, without the table service. The worker that the request id hashes to is its home. The
     * request runs there under a task id made of the request id, which the worker never runs twice; or, when the home has
     * no room, a tombstone at the home names the other worker, and the first to leave it wins. A second submission finds
     * the task or the tombstone and gets the first one's outcome.
     */
    const runOnce = async (req: peer.RunRequest, deadline: number): Promise<RunOutcome> => {
        const home = sessions.get(req.homeWorkerId);
        const taskId = getOnceTaskId(req.account, req.requestId);
        if (closed) {
            return shed(deadline);
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
        const slot = await waitForSlot(req.needs!, new Set(), home.workerId, deadline);
        if (!slot) {
            return shed(deadline);
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

    return {
        run: async req => {
            active++;
            const deadline = time.now() + req.deadlineInMs;
            try {
                const outcome = req.repeatable ? await runRepeatable(req, deadline) : await runOnce(req, deadline);
                return { requestId: req.requestId, outcome };
            }
            finally {
                active--;
            }
        },
        getWaiting: () => waiters.length,
        getActive: () => active,
        wake,
        close: () => {
            closed = true;
            for (const waiter of waiters.splice(0)) {
                waiter.done = true;
                waiter.resolve(undefined);
            }
        },
    };
}

/** The same for every submission of the same request id by the same account. */
export function getOnceTaskId(account: string, requestId: string): string {
    return `o.${crypto.createHash("sha256").update(`${account}\n${requestId}`).digest("hex").slice(0, 40)}`;
}

function isInvalidAnswer(outcome: RunOutcome): boolean {
    return outcome.$case === "refusal" && outcome.value.code === result.ResultCode.AnswerInvalid;
}

function toAnswer(answer: port.TaskAnswer): peer.Answer {
    return { taskId: answer.taskId, body: Buffer.from(answer.body), digest: answer.digest };
}

function refusal(code: result.ResultCode, message: string, retryAfterMs = 0): RunOutcome {
    return { $case: "refusal", value: { code, message, ran: result.getResultInfo(code).ran, retryAfterMs } };
}
