/**
 * Takes callers' requests: submissions, questions and cancellations. Every instance does; what it promises lies in
 * the store before it is promised.
 */
import type * as catalog from "../catalog/index";
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import * as rows from "../rows/index";
import * as work from "../work/index";

/** How a request ended. Only `notAccepted` says that a submission has not been and will not be carried out. */
export type IntakeReply =
    | { readonly kind: "accepted"; }
    | { readonly kind: "state"; readonly state: work.JobState; }
    | { readonly kind: "cancelled"; }
    | { readonly kind: "waiting"; readonly count: number; }
    | { readonly kind: "unknownJob"; }
    | { readonly kind: "notAccepted"; readonly retryAfterMs: number; readonly reason: string; }
    /** The job can never be carried out; it is of no use to hand it in again. */
    | { readonly kind: "impossible"; readonly reason: string; }
    /** A question or a cancellation that could not be taken; nothing was changed. */
    | { readonly kind: "unavailable"; readonly retryAfterMs: number; readonly reason: string; }
    /** The store gave no answer that decides; asking again with the same id is safe. */
    | { readonly kind: "undecided"; readonly retryAfterMs: number; readonly reason: string; };

export interface Caller {
    /** For the log: whatever names the request on its way. */
    readonly requestId: string;
    readonly queue: catalog.Queue;
    readonly account: string;
    /** Monotonic time until which the caller waits. */
    readonly deadlineAt: number;
}

export interface IntakeOptions {
    readonly store: rows.RowStore;
    readonly health: Pick<rows.StoreHealth, "getAwayMs" | "getSilenceMs" | "getAnswerMs">;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    /** The longest value of a row. */
    getMaxRowBytes(): number;
    /** Counts of waiting jobs as the leader last published them, and their age. */
    getPublishedCounts(): PublishedCounts | undefined;
}

export interface PublishedCounts {
    readonly counts: Readonly<Record<string, number>>;
    /** Whether a queue that is not among them has no waiting job. */
    readonly complete: boolean;
    readonly ageMs: number;
}

export interface Intake {
    submit(caller: Caller, jobId: string, spec: work.JobSpec): Promise<IntakeReply>;
    getState(caller: Caller, jobId: string): Promise<IntakeReply>;
    cancel(caller: Caller, jobId: string): Promise<IntakeReply>;
    count(caller: Caller): Promise<IntakeReply>;
}

/** One call to the store, 5 ms as a rule; so many times what it takes to answer now are added. */
const CALL_TIMEOUT_MS = 900;
const ANSWERS_MORE = 2;
/** Reads are repeated for free, so they are given up sooner. */
const READ_TIMEOUT_MS = 500;
const LEAST_TIMEOUT_MS = 50;
/** A store that answered this recently is there: beside its answer of 5 ms, a failure in between is unlikely. */
const FRESH_MS = 50;
const RETRY_PAUSE_MS = 80;
/** A caller that is told nothing has to ask again; the reply itself needs this long to get there. */
const REPLY_MARGIN_MS = 150;
/** A store that turns calls away is asked this often; then the caller is better off at another instance. */
const REFUSALS_BEFORE_REPLY = 3;
/** When a refused caller should come back: a leader's lease and more, after which most troubles are over. */
const RETRY_AFTER_MS = 1_000;
/** Counts older than this are taken from the rows instead. */
const COUNTS_AGE_MS = 2_000;

export function createIntake(options: IntakeOptions): Intake {
    const { store, clock: time, log, meter, health } = options;

    const isStoreAway = () => health.getAwayMs() !== undefined;
    const getLeftMs = (caller: Caller) => caller.deadlineAt - time.now() - REPLY_MARGIN_MS;
    /** Longer at a store that answers late: what is given up is carried out all the same, and is asked for again. */
    const getTimeout = (caller: Caller, usualMs: number) =>
        Math.max(LEAST_TIMEOUT_MS, Math.min(usualMs + ANSWERS_MORE * health.getAnswerMs(), getLeftMs(caller)));

    /**
     * Creates a row that may be there already. Repeating is safe: the condition holds once only.
     *
     * After a write without an answer a probe finds the store within the pause, if it was but one answer that was lost.
     * Where the store is away the outcome stays open at once: nobody here learns more before the caller's deadline, and
     * another instance, or the caller's next try, may.
     */
    const createRow = async (
        caller: Caller,
        jobId: string,
        value: string,
        key = jobId,
    ): Promise<IntakeReply> => {
        const row = { table: work.Table.Jobs, part: work.getIntakePart(jobId), key };
        if (isStoreAway()) {
            // Nothing is sent, so that the refusal is certain as well as immediate.
            return { kind: "notAccepted", retryAfterMs: RETRY_AFTER_MS, reason: "the store cannot be reached" };
        }
        let mayBeWritten = false;
        let refusals = 0;
        let reason = "";
        do {
            const outcome = await store.transact({
                conditions: [{ ...row, version: 0 }],
                puts: [{ ...row, value }],
                removals: [],
            }, getTimeout(caller, CALL_TIMEOUT_MS));
            switch (outcome.kind) {
                case "committed":
                case "conflict":
                    return { kind: "accepted" };
                case "refused":
                    reason = outcome.message;
                    refusals++;
                    break;
                case "unknown":
                    reason = outcome.message;
                    mayBeWritten = true;
                    break;
            }
            if (!mayBeWritten && refusals >= REFUSALS_BEFORE_REPLY) {
                break;
            }
            await time.sleep(RETRY_PAUSE_MS);
        }
        while (getLeftMs(caller) > 0 && !isStoreAway());
        return mayBeWritten
            ? { kind: "undecided", retryAfterMs: RETRY_AFTER_MS, reason }
            : { kind: "notAccepted", retryAfterMs: RETRY_AFTER_MS, reason };
    };

    /** Reads rows until it succeeds, the store is known to be away or the caller's time is over. */
    const read = async (
        caller: Caller,
        readOnce: (timeoutMs: number) => Promise<rows.ReadResult>,
    ): Promise<readonly rows.Row[] | string> => {
        let reason = "the store cannot be reached";
        let failures = 0;
        while (!isStoreAway() && getLeftMs(caller) > 0 && failures < REFUSALS_BEFORE_REPLY) {
            const result = await readOnce(getTimeout(caller, READ_TIMEOUT_MS));
            if (result.kind === "read") {
                return result.rows;
            }
            reason = result.message;
            failures++;
            await time.sleep(RETRY_PAUSE_MS);
        }
        return reason;
    };

    const readRange = (caller: Caller, range: rows.RowRange) => read(caller, timeoutMs => store.read(range, timeoutMs));
    const readProgress = (caller: Caller, jobId: string) =>
        // The job's own row is the first of its rows; `!` sorts before what follows the id in the others' keys.
        readRange(caller, {
            table: work.Table.Progress,
            part: work.LEADER_PART,
            from: jobId,
            before: `${jobId}!`,
            limit: 1,
        });
    const readSubmission = (caller: Caller, jobId: string) =>
        readRange(caller, {
            table: work.Table.Jobs,
            part: work.getIntakePart(jobId),
            from: jobId,
            before: `${work.getCancelKey(jobId)}!`,
            limit: 2,
        });

    /**
     * Reads before the write, where the store has not answered for a moment.
     *
     * What goes wrong without it: a store that falls silent takes writes whose outcome nobody learns. Their callers
     * can be told neither that the work is accepted nor that it is not, and such a caller does not hand it in again.
     * One notices jobs that end with 504 at the beginning of each outage. A read that gets no answer leaves nothing
     * behind, so the refusal that follows is true, and the caller may come back.
     * Returns the reply where there is nothing left to write.
     */
    const readBeforeWrite = async (caller: Caller, jobId: string): Promise<IntakeReply | undefined> => {
        if (health.getSilenceMs() <= FRESH_MS) {
            return undefined;
        }
        const present = await readSubmission(caller, jobId);
        if (typeof present === "string") {
            return { kind: "notAccepted", retryAfterMs: RETRY_AFTER_MS, reason: present };
        }
        return present.some(row => row.key === jobId) ? { kind: "accepted" } : undefined;
    };

    const findObstacle = (spec: work.JobSpec, value: string): IntakeReply | undefined => {
        const rowBytes = options.getMaxRowBytes();
        const bytes = Buffer.byteLength(value);
        const reason = work.findExceededLimit(spec, rowBytes)
            ?? (bytes > rowBytes ? `${bytes} bytes, more than the ${rowBytes} of a row` : undefined);
        return reason === undefined ? undefined : { kind: "impossible", reason };
    };

    const createUnavailable = (reason: string): IntakeReply => ({
        kind: "unavailable",
        retryAfterMs: RETRY_AFTER_MS,
        reason,
    });

    const logReply = (call: string, caller: Caller, jobId: string, reply: IntakeReply, startedAt: number) => {
        const tookMs = Math.round(time.now() - startedAt);
        const { account } = caller;
        meter.increment("requests_total", { call, outcome: reply.kind, account, queue: caller.queue.name });
        meter.record("request_duration_ms", { call, account }, tookMs);
        log.info("request", {
            request: caller.requestId,
            call,
            job: jobId,
            account: caller.account,
            queue: caller.queue.name,
            outcome: reply.kind,
            state: reply.kind === "state" ? reply.state : undefined,
            reason: "reason" in reply ? reply.reason : undefined,
            tookMs,
        });
        return reply;
    };

    const readState = async (caller: Caller, jobId: string): Promise<IntakeReply> => {
        const progress = await readProgress(caller, jobId);
        if (typeof progress === "string") {
            return createUnavailable(progress);
        }
        if (progress[0]) {
            return { kind: "state", state: (JSON.parse(progress[0].value) as work.JobProgress).state };
        }
        const submission = await readSubmission(caller, jobId);
        if (typeof submission === "string") {
            return createUnavailable(submission);
        }
        return submission.length > 0 ? { kind: "state", state: "queued" } : { kind: "unknownJob" };
    };

    const cancel = async (caller: Caller, jobId: string): Promise<IntakeReply> => {
        const submission = await readSubmission(caller, jobId);
        if (typeof submission === "string") {
            return createUnavailable(submission);
        }
        if (submission.length === 0) {
            return { kind: "unknownJob" };
        }
        const created = await createRow(caller, jobId, "", work.getCancelKey(jobId));
        switch (created.kind) {
            case "accepted":
                return { kind: "cancelled" };
            case "notAccepted":
                return { ...created, kind: "unavailable" };
            default:
                return created;
        }
    };

    /** Without a leader's recent counts: jobs without a progress row have not begun. */
    const countRows = async (caller: Caller): Promise<IntakeReply> => {
        const readTable = (table: string, parts: readonly string[]) =>
            read(caller, timeoutMs => rows.readParts(store, table, parts, timeoutMs));
        const intake = await readTable(work.Table.Jobs, work.INTAKE_PARTS);
        const progress = typeof intake === "string"
            ? intake
            : await readTable(work.Table.Progress, [work.LEADER_PART]);
        if (typeof intake === "string" || typeof progress === "string") {
            return createUnavailable(typeof intake === "string" ? intake : String(progress));
        }
        const begun = new Set(progress.map(row => row.key));
        const waiting = intake.filter(row =>
            work.getCancelledJobId(row.key) === undefined
            && !begun.has(row.key)
            && (JSON.parse(row.value) as work.Submission).queue.name === caller.queue.name
        );
        return { kind: "waiting", count: waiting.length };
    };

    return {
        submit: async (caller, jobId, spec) => {
            const startedAt = time.now();
            const submission: work.Submission = {
                jobId,
                queue: caller.queue,
                account: caller.account,
                acceptedAt: time.wallTime(),
                spec,
            };
            const value = JSON.stringify(submission);
            const reply = findObstacle(spec, value)
                ?? await readBeforeWrite(caller, jobId)
                ?? await createRow(caller, jobId, value);
            return logReply("submit", caller, jobId, reply, startedAt);
        },
        getState: async (caller, jobId) => {
            const startedAt = time.now();
            return logReply("state", caller, jobId, await readState(caller, jobId), startedAt);
        },
        cancel: async (caller, jobId) => {
            const startedAt = time.now();
            return logReply("cancel", caller, jobId, await cancel(caller, jobId), startedAt);
        },
        count: async caller => {
            const startedAt = time.now();
            const published = options.getPublishedCounts();
            const recent = published && published.ageMs <= COUNTS_AGE_MS ? published : undefined;
            const known = recent?.counts[caller.queue.name] ?? (recent?.complete ? 0 : undefined);
            const reply: IntakeReply = known === undefined
                ? await countRows(caller)
                : { kind: "waiting", count: known };
            return logReply("count", caller, "", reply, startedAt);
        },
    };
}
