/**
 * Serves caller requests: submissions, queries and cancellations. Every instance accepts them; each submission or
 * cancellation is stored before it is confirmed to the caller.
 */
import * as admission from "../admission/index";
import type * as catalog from "../catalog/index";
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import * as rows from "../rows/index";
import * as work from "../work/index";

/** Result of a request. Only `notAccepted` guarantees that a submission was not stored and never will be. */
export type IntakeReply =
    | { readonly kind: "accepted"; }
    | { readonly kind: "state"; readonly state: work.JobState; }
    | { readonly kind: "cancelled"; }
    | { readonly kind: "waiting"; readonly count: number; }
    | { readonly kind: "unknownJob"; }
    | {
        readonly kind: "notAccepted";
        readonly retryAfterMs: number;
        readonly reason: string;
        /** Set if other instances would decide alike, so that asking them is useless. */
        readonly final?: boolean;
    }
    /** The job exceeds a limit and can never run; retrying is useless. */
    | { readonly kind: "impossible"; readonly reason: string; }
    /** A query or cancellation that could not be served; nothing was changed. */
    | { readonly kind: "unavailable"; readonly retryAfterMs: number; readonly reason: string; }
    /** A write got no answer, so its outcome is unknown; retrying with the same id is safe. */
    | { readonly kind: "undecided"; readonly retryAfterMs: number; readonly reason: string; };

/** The caller of one request. */
export interface Caller {
    /** Correlates log lines about the request. */
    readonly requestId: string;
    readonly queue: catalog.Queue;
    readonly account: string;
    /** Monotonic time until which the caller waits for the reply, in milliseconds. */
    readonly deadlineAt: number;
}

/** Ports and settings of the intake. */
export interface IntakeOptions {
    readonly store: rows.RowStore;
    readonly health: Pick<rows.StoreHealth, "getUnreachableMs" | "getTimeSinceAnswerMs" | "getLatencyMs">;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    /** Maximum size of a row's value, in bytes. */
    getMaxRowBytes(): number;
    /** Waiting jobs of each queue as the leader last published them; `undefined` if no counts are known. */
    getPublishedCounts(): PublishedCounts | undefined;
    /** The leader's load as this instance knows it. Without this option no submission is refused for load. */
    getLoadView?(): admission.LoadView | undefined;
}

/** Waiting jobs by queue, as published by the leader. */
export interface PublishedCounts {
    readonly counts: Readonly<Record<string, number>>;
    /** Whether a queue without a count has no waiting job; false if the counts did not fit into the lease's row. */
    readonly complete: boolean;
    readonly ageMs: number;
}

/** Serves requests of callers. Failures are replies, not rejections. */
export interface Intake {
    submit(caller: Caller, jobId: string, spec: work.JobSpec): Promise<IntakeReply>;
    getState(caller: Caller, jobId: string): Promise<IntakeReply>;
    cancel(caller: Caller, jobId: string): Promise<IntakeReply>;
    count(caller: Caller): Promise<IntakeReply>;
}

/** Timeout of one write, which normally takes 5 ms; `LATENCY_FACTOR` times the store's current latency is added. */
const CALL_TIMEOUT_MS = 900;
const LATENCY_FACTOR = 2;
/** Timeout of one read; shorter than for writes, since a read can be retried without side effects. */
const READ_TIMEOUT_MS = 500;
const MIN_TIMEOUT_MS = 50;
/** The store counts as reachable for this long after an answer: a failure so soon is rare, as an answer takes 5 ms. */
const REACHABLE_MS = 50;
const RETRY_PAUSE_MS = 80;
/** Reserved for sending the reply: a caller that receives none before its deadline has to ask again. */
const REPLY_MARGIN_MS = 150;
/** After this many refusals or failed reads the caller gets a reply, since another instance may serve it. */
const MAX_REFUSALS = 3;
/** Time after which a refused caller retries; most short outages are shorter. */
const RETRY_AFTER_MS = 1_000;
/** Reason of a refusal by admission, as log lines and callers get it. */
const LOAD_REASON = "refused for load";
/** Published counts older than this are not used; the rows are counted instead. */
const MAX_COUNTS_AGE_MS = 2_000;

/** Longest time for counting the rows, for which several callers may wait. */
const COUNT_TIMEOUT_MS = 3_000;

/** What is to be created; all writes of an entry are idempotent, since its conditions hold only once. */
interface NewEntry {
    readonly key: string;
    readonly value: string;
    /** Keys that must not exist, among them the new one. */
    readonly absentKeys: readonly string[];
    /** Reply if these of them exist; `undefined` if none does, so that the conflict is not explained. */
    getConflictReply(existingKeys: readonly string[]): IntakeReply | undefined;
}

/** Reply to a submission of which these rows exist, the job's own or that of its cancellation. */
function getSubmitConflictReply(jobId: string, existingKeys: readonly string[]): IntakeReply | undefined {
    if (existingKeys.includes(jobId)) {
        return { kind: "accepted" };
    }
    return !existingKeys.includes(work.getCancelKey(jobId)) ? undefined : {
        kind: "notAccepted",
        retryAfterMs: RETRY_AFTER_MS,
        reason: "the job was cancelled before it was accepted",
        final: true,
    };
}

/** Creates the intake of one instance. */
export function createIntake(options: IntakeOptions): Intake {
    const { store, clock: time, log, meter, health } = options;

    const memory = admission.createRefusalMemory();
    /** Time after which a caller retries whom the store did not let this instance serve. */
    const getOutageRetryMs = (jobId: string) =>
        options.getLoadView ? admission.getOutageRetryAfterMs(health.getTimeSinceAnswerMs(), jobId) : RETRY_AFTER_MS;
    const isStoreUnreachable = () => health.getUnreachableMs() !== undefined;
    const getRemainingMs = (caller: Caller) => caller.deadlineAt - time.now() - REPLY_MARGIN_MS;
    /** Grows with the latency: a slow store still carries out calls that have timed out, and each retry adds load. */
    const getTimeout = (caller: Caller, usualMs: number) =>
        Math.max(MIN_TIMEOUT_MS, Math.min(usualMs + LATENCY_FACTOR * health.getLatencyMs(), getRemainingMs(caller)));

    /**
     * Creates a row unless it, or one that precludes it, exists.
     *
     * A write without an answer is retried after a pause, within which a probe finds the store if only that answer was
     * lost. If the store is unreachable the outcome is reported as undecided at once: this instance learns no more
     * before the caller's deadline, while another instance or the caller's retry may.
     */
    const createRow = async (caller: Caller, jobId: string, entry: NewEntry): Promise<IntakeReply> => {
        const toRowKey = (key: string) => ({ table: work.Table.Jobs, part: work.getIntakePart(jobId), key });
        if (isStoreUnreachable()) {
            // Nothing is sent, so the refusal is certain as well as immediate.
            return {
                kind: "notAccepted",
                retryAfterMs: getOutageRetryMs(jobId),
                reason: "the store cannot be reached",
            };
        }
        let mayBeWritten = false;
        let refusals = 0;
        let reason = "";
        do {
            const outcome = await store.transact({
                conditions: entry.absentKeys.map(key => ({ ...toRowKey(key), version: 0 })),
                puts: [{ ...toRowKey(entry.key), value: entry.value }],
                removals: [],
            }, getTimeout(caller, CALL_TIMEOUT_MS));
            switch (outcome.kind) {
                case "committed":
                    return { kind: "accepted" };
                case "conflict": {
                    const reply = entry.getConflictReply(outcome.rows.map(row => row.key));
                    if (reply) {
                        return reply;
                    }
                    // The row that caused the conflict may be the job's own.
                    reason = "conflict without a row";
                    mayBeWritten = true;
                    break;
                }
                case "refused":
                    reason = outcome.message;
                    refusals++;
                    break;
                case "unknown":
                    reason = outcome.message;
                    mayBeWritten = true;
                    break;
            }
            if (!mayBeWritten && refusals >= MAX_REFUSALS) {
                break;
            }
            await time.sleep(RETRY_PAUSE_MS);
        }
        while (getRemainingMs(caller) > 0 && !isStoreUnreachable());
        if (mayBeWritten) {
            memory.recordUndecided(jobId, time.now());
            return { kind: "undecided", retryAfterMs: getOutageRetryMs(jobId), reason };
        }
        return { kind: "notAccepted", retryAfterMs: getOutageRetryMs(jobId), reason };
    };

    /**
     * Retries a read until it succeeds, fails too often, the store is unreachable or the caller's deadline is near.
     * Returns the reason if it did not succeed.
     */
    const read = async (
        caller: Caller,
        readOnce: (timeoutMs: number) => Promise<rows.ReadResult>,
    ): Promise<readonly rows.Row[] | string> => {
        let reason = "the store cannot be reached";
        let failures = 0;
        while (!isStoreUnreachable() && getRemainingMs(caller) > 0 && failures < MAX_REFUSALS) {
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
        // Reads only the job's own row: `!` sorts before the "." that follows the id in the keys of its other rows.
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
     * Reads before the write if the store has not answered recently. Returns a reply if nothing is left to write.
     *
     * Writes that are sent just as the store stops answering have an unknown outcome. Their callers get status 504 and
     * do not submit the job again. A read without an answer has no side effects, so the job can be refused for certain,
     * and the caller may retry.
     */
    const readBeforeWrite = async (caller: Caller, jobId: string): Promise<IntakeReply | undefined> => {
        if (health.getTimeSinceAnswerMs() <= REACHABLE_MS) {
            return undefined;
        }
        const present = await readSubmission(caller, jobId);
        if (typeof present === "string") {
            return { kind: "notAccepted", retryAfterMs: getOutageRetryMs(jobId), reason: present };
        }
        return getSubmitConflictReply(jobId, present.map(row => row.key));
    };

    const createSubmission = (caller: Caller, jobId: string, value: string) =>
        createRow(caller, jobId, {
            key: jobId,
            value,
            // A cancellation may be acknowledged while a write of the submission is under way, at any instance.
            absentKeys: [jobId, work.getCancelKey(jobId)],
            getConflictReply: existing => getSubmitConflictReply(jobId, existing),
        });

    /** A decision of admission, and what came of it, for the request's log line. */
    interface Admission {
        readonly decision: string;
        readonly inputs?: admission.DecisionInputs;
        readonly reply?: IntakeReply;
    }
    /**
     * Decides whether the submission is refused for load. A job that is stored, or that may be stored by an earlier
     * submission, is never refused: the refusal would not be true.
     */
    const admit = async (caller: Caller, jobId: string, spec: work.JobSpec): Promise<Admission> => {
        const { queue, account } = caller;
        const decision = admission.decide({ view: options.getLoadView?.(), queue, account, spec });
        const { inputs } = decision;
        if (decision.kind === "accept") {
            return { decision: decision.reason, inputs };
        }
        if (isStoreUnreachable() || memory.mayBeWritten(jobId, time.now())) {
            return { decision: "mayBeStored", inputs };
        }
        const present = await readSubmission(caller, jobId);
        if (typeof present === "string") {
            return { decision: "mayBeStored", inputs };
        }
        if (present.some(row => row.key === jobId)) {
            return { decision: "stored", inputs, reply: { kind: "accepted" } };
        }
        const retryAfterMs = admission.getLoadRetryAfterMs({
            jobId,
            priority: queue.priority,
            inputs: decision.inputs,
            sinceFirstRefusalMs: memory.recordRefusal(jobId, time.now()),
        });
        return {
            decision: "refused",
            inputs,
            reply: { kind: "notAccepted", retryAfterMs, reason: LOAD_REASON, final: true },
        };
    };

    const checkLimits = (spec: work.JobSpec, value: string): IntakeReply | undefined => {
        const exceeded = work.findExceededLimit(spec, Buffer.byteLength(value), options.getMaxRowBytes());
        if (!exceeded) {
            return undefined;
        }
        meter.increment("jobs_over_limit_total", { limit: exceeded.limit });
        return { kind: "impossible", reason: exceeded.reason };
    };

    const createUnavailable = (reason: string, jobId: string): IntakeReply => ({
        kind: "unavailable",
        retryAfterMs: getOutageRetryMs(jobId),
        reason,
    });

    const logReply = (
        call: string,
        caller: Caller,
        jobId: string,
        reply: IntakeReply,
        startedAt: number,
        admitted?: Admission,
    ) => {
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
            // Only decisions that had a wait to consider: most submissions have none.
            ...admitted?.inputs && {
                admission: admitted.decision,
                expectedWaitMs: Math.round(admitted.inputs.expectedWaitMs),
                maxWaitMs: Math.round(admitted.inputs.maxWaitMs),
                loadAgeMs: admitted.inputs.viewAgeMs,
                retryAfterMs: "retryAfterMs" in reply ? reply.retryAfterMs : undefined,
            },
        });
        return reply;
    };

    const readState = async (caller: Caller, jobId: string): Promise<IntakeReply> => {
        const progress = await readProgress(caller, jobId);
        if (typeof progress === "string") {
            return createUnavailable(progress, jobId);
        }
        if (progress[0]) {
            return { kind: "state", state: (JSON.parse(progress[0].value) as work.JobProgress).state };
        }
        const submission = await readSubmission(caller, jobId);
        if (typeof submission === "string") {
            return createUnavailable(submission, jobId);
        }
        return submission.some(row => row.key === jobId)
            ? { kind: "state", state: "queued" }
            : { kind: "unknownJob" };
    };

    /**
     * Stores the cancellation also if the job is unknown: a submission of it may still be carried out, and would
     * otherwise run after its cancellation was acknowledged.
     */
    const cancel = async (caller: Caller, jobId: string): Promise<IntakeReply> => {
        const submission = await readSubmission(caller, jobId);
        if (typeof submission === "string") {
            return createUnavailable(submission, jobId);
        }
        const key = work.getCancelKey(jobId);
        const created = submission.some(row => row.key === key) ? { kind: "accepted" } as const : await createRow(
            caller,
            jobId,
            { key, value: "", absentKeys: [key], getConflictReply: () => ({ kind: "accepted" }) },
        );
        switch (created.kind) {
            case "accepted":
                return submission.some(row => row.key === jobId) ? { kind: "cancelled" } : { kind: "unknownJob" };
            case "notAccepted":
                return { ...created, kind: "unavailable" };
            default:
                return created;
        }
    };

    /** Waiting jobs by queue, counted in the rows: jobs without a progress row have not begun. */
    const countAllRows = async (caller: Caller): Promise<ReadonlyMap<string, number> | string> => {
        const readTable = (table: string, parts: readonly string[]) =>
            read(caller, timeoutMs => rows.readParts(store, table, parts, timeoutMs));
        const submissions = await readTable(work.Table.Jobs, work.INTAKE_PARTS);
        const progress = typeof submissions === "string"
            ? submissions
            : await readTable(work.Table.Progress, [work.LEADER_PART]);
        if (typeof submissions === "string" || typeof progress === "string") {
            return typeof submissions === "string" ? submissions : String(progress);
        }
        const begun = new Set(progress.map(row => row.key));
        const counts = new Map<string, number>();
        for (const row of submissions) {
            if (work.getCancelledJobId(row.key) === undefined && !begun.has(row.key)) {
                const { queue } = JSON.parse(row.value) as work.Submission;
                counts.set(queue.name, (counts.get(queue.name) ?? 0) + 1);
            }
        }
        return counts;
    };
    let currentCount: ReturnType<typeof countAllRows> | undefined;
    /**
     * Counts the rows when the leader's counts are missing or too old. Callers share a count that is under way: with one
     * for each, all rows would be held as often as there are callers.
     */
    const countRows = async (caller: Caller): Promise<IntakeReply> => {
        currentCount ??= countAllRows({ ...caller, deadlineAt: time.now() + COUNT_TIMEOUT_MS }).finally(() => {
            currentCount = undefined;
        });
        const counts = await currentCount;
        return typeof counts === "string"
            ? createUnavailable(counts, caller.requestId)
            : { kind: "waiting", count: counts.get(caller.queue.name) ?? 0 };
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
            const impossible = checkLimits(spec, value);
            const admitted = impossible || !options.getLoadView ? undefined : await admit(caller, jobId, spec);
            if (admitted) {
                meter.increment("admission_decisions_total", { decision: admitted.decision, queue: caller.queue.name });
            }
            const reply = impossible
                ?? admitted?.reply
                ?? await readBeforeWrite(caller, jobId)
                ?? await createSubmission(caller, jobId, value);
            return logReply("submit", caller, jobId, reply, startedAt, admitted);
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
            const recent = published && published.ageMs <= MAX_COUNTS_AGE_MS ? published : undefined;
            const known = recent?.counts[caller.queue.name] ?? (recent?.complete ? 0 : undefined);
            const reply: IntakeReply = known === undefined
                ? await countRows(caller)
                : { kind: "waiting", count: known };
            return logReply("count", caller, "", reply, startedAt);
        },
    };
}
