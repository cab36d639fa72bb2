/** Sends streams of requests at given rates and follows each request until its outcome is known. */
import * as crypto from "node:crypto";
import type * as clock from "../clock/index";
import type * as random from "../random/index";
import type * as result from "../result/index";
import type * as callerLog from "./callerLog";
import type * as callersClient from "./callersClient";

/** Requests of one account and class. Shares are between 0 and 1. */
export interface LoadStream {
    readonly account: string;
    readonly key: string;
    readonly jobClass: "interactive" | "urgent" | "batch";
    /** Mean rate of requests; arrivals are a Poisson process. */
    readonly perSecond: number;
    /** Number of requests that arrive together; 1 for single requests. */
    readonly burst: number;
    /** Numbers of accelerators, from which one is drawn for each job. */
    readonly accelerators: readonly number[];
    readonly adjacency: "any" | "worker" | "rack" | "adjacentRacks";
    readonly repeatable: boolean;
    /** Mean run time of the work in milliseconds; run times are exponentially distributed. */
    readonly runMs: number;
    /** Ratio of the declared run time to the real one. */
    readonly declaredFactor: number;
    readonly deadlineMs?: number;
    /** Share of requests that are submitted twice under the same request id; the client picks an instance for each. */
    readonly duplicates: number;
    /** Share of jobs that are cancelled soon after their acceptance. */
    readonly cancellations: number;
}

/** Options of `createLoad`. */
export interface LoadOptions {
    readonly clock: clock.Clock;
    readonly rng: random.Random;
    readonly client: callersClient.CallersClient;
    readonly log: callerLog.CallerLog;
    /** How long a caller asks for an outcome before it records the outcome as unknown or open. */
    readonly patienceMs: number;
}

/** A load generator. */
export interface Load {
    /** Sends the streams until the signal is aborted, then waits for all outcomes. */
    run(streams: readonly LoadStream[], signal: AbortSignal): Promise<void>;
}

/** Pause between two attempts of a caller. */
const RETRY_PAUSE_MS = 250;
/** Duration of a long poll for a job's outcome. */
const POLL_MS = 5000;
/** Delay from the acceptance of a job to its cancellation. */
const CANCEL_AFTER_MS = 50;

/** Creates a load generator; nothing is sent until `run` is called. */
export function createLoad(options: LoadOptions): Load {
    const { clock: time, rng, client, log } = options;

    const recordOutcome = (
        record: callerLog.CallerRecord,
        outcome: callerLog.CallerRecord["outcome"],
        code: number | undefined,
    ) => {
        record.outcome = outcome;
        record.code = code;
        record.endedAt = time.now();
    };

    /** Records a refusal. The outcome is "not run" only if no earlier submission of the request may have run. */
    const recordRefusal = (record: callerLog.CallerRecord, code: number, ran: result.Ran, mayHaveRun: boolean) => {
        const outcome = ran === "yes" ? "failed" : ran === "unknown" || mayHaveRun ? "unknown" : "notRun";
        recordOutcome(record, outcome, code);
    };

    /** Sends an interactive request and repeats it under the same id until its outcome is known. */
    const callInteractive = async (
        record: callerLog.CallerRecord,
        stream: LoadStream,
        body: Readonly<Record<string, unknown>>,
    ): Promise<void> => {
        const giveUpAt = time.now() + options.patienceMs;
        let mayHaveRun = false;
        while (time.now() < giveUpAt) {
            const answer = await client.submit(stream.key, body, 0);
            if (answer.kind === "done") {
                record.accepted = true;
                record.answerMark = readMark(answer.body);
                recordOutcome(record, "done", undefined);
                return;
            }
            if (answer.kind === "refused" && answer.ran !== "unknown") {
                recordRefusal(record, answer.code, answer.ran, mayHaveRun);
                return;
            }
            mayHaveRun = mayHaveRun || answer.kind !== "unreachable";
            // The outcome is unknown. Repeating the request id is safe even for work that may run only once.
            record.code = answer.kind === "refused" ? answer.code : undefined;
            await time.sleep(RETRY_PAUSE_MS);
        }
        recordOutcome(record, "unknown", record.code);
    };

    const followJob = async (record: callerLog.CallerRecord, stream: LoadStream, requestId: string): Promise<void> => {
        const giveUpAt = time.now() + options.patienceMs;
        while (time.now() < giveUpAt) {
            const answer = await client.get(stream.key, requestId, POLL_MS);
            if (answer.kind === "job" && answer.state === "done") {
                const found = await client.getResult(stream.key, requestId);
                if (found.kind === "done") {
                    record.answerMark = readMark(found.body);
                    recordOutcome(record, "done", undefined);
                    return;
                }
            }
            if (answer.kind === "job" && (answer.state === "failed" || answer.state === "notRun")) {
                recordOutcome(record, answer.state, answer.code);
                return;
            }
            await time.sleep(RETRY_PAUSE_MS);
        }
    };

    const callJob = async (
        record: callerLog.CallerRecord,
        stream: LoadStream,
        requestId: string,
        body: Readonly<Record<string, unknown>>,
    ): Promise<void> => {
        const giveUpAt = time.now() + options.patienceMs;
        let mayHaveRun = false;
        while (time.now() < giveUpAt) {
            const answer = await client.submit(stream.key, body, 0);
            if (answer.kind === "job") {
                record.accepted = true;
                if (record.cancelled) {
                    await time.sleep(CANCEL_AFTER_MS);
                    await client.cancel(stream.key, requestId);
                }
                return followJob(record, stream, requestId);
            }
            if (answer.kind === "refused" && answer.ran !== "unknown") {
                recordRefusal(record, answer.code, answer.ran, mayHaveRun);
                return;
            }
            mayHaveRun = mayHaveRun || answer.kind !== "unreachable";
            await time.sleep(RETRY_PAUSE_MS);
        }
        recordOutcome(record, "unknown", record.code);
    };

    const send = async (stream: LoadStream): Promise<void> => {
        const mark = crypto.randomUUID();
        const runMs = Math.round(rng.nextExponential(stream.runMs));
        const accelerators = stream.jobClass === "interactive" ? 0 : rng.pick(stream.accelerators);
        const record: callerLog.CallerRecord = {
            mark,
            account: stream.account,
            jobClass: stream.jobClass,
            repeatable: stream.repeatable,
            accelerators,
            cancelled: rng.nextFloat() < stream.cancellations,
            submittedAt: time.now(),
            accepted: false,
            outcome: "open",
            code: undefined,
            endedAt: undefined,
            answerMark: undefined,
        };
        log.add(record);
        const body = {
            requestId: mark,
            class: stream.jobClass,
            ...(stream.jobClass === "interactive" ? {} : { accelerators, adjacency: stream.adjacency }),
            repeatable: stream.repeatable,
            ...(stream.deadlineMs === undefined ? {} : { deadlineMs: stream.deadlineMs }),
            ...(stream.jobClass === "interactive" ? {} : { declaredMs: Math.max(1, runMs * stream.declaredFactor) }),
            payload: JSON.stringify({ runMs, mark }),
        };
        const isDuplicated = rng.nextFloat() < stream.duplicates;
        const duplicate = isDuplicated ? client.submit(stream.key, body, 0) : Promise.resolve(undefined);
        const call = stream.jobClass === "interactive"
            ? callInteractive(record, stream, body)
            : callJob(record, stream, mark, body);
        const [, duplicateAnswer] = await Promise.all([call, duplicate]);
        const duplicateMayHaveRun = duplicateAnswer
            && !(duplicateAnswer.kind === "unreachable"
                || (duplicateAnswer.kind === "refused" && duplicateAnswer.ran === "no"));
        if (record.outcome === "notRun" && duplicateMayHaveRun) {
            // A request did not run only if all of its submissions were answered so.
            record.outcome = "unknown";
        }
    };

    const runStream = async (stream: LoadStream, signal: AbortSignal): Promise<void> => {
        const inFlight = new Set<Promise<void>>();
        const meanGapMs = 1000 * stream.burst / stream.perSecond;
        let nextAt = time.now() + rng.nextExponential(meanGapMs);
        while (!signal.aborted) {
            await time.sleep(Math.max(0, nextAt - time.now()), signal);
            while (nextAt <= time.now() && !signal.aborted) {
                nextAt += rng.nextExponential(meanGapMs);
                for (let count = 0; count < stream.burst; count++) {
                    const sending: Promise<void> = send(stream).finally(() => inFlight.delete(sending));
                    inFlight.add(sending);
                }
            }
        }
        await Promise.all(inFlight);
    };

    return {
        run: async (streams, signal) => {
            await Promise.all(streams.filter(stream => stream.perSecond > 0).map(stream => runStream(stream, signal)));
        },
    };
}

function readMark(body: Uint8Array): string {
    try {
        const parsed = JSON.parse(Buffer.from(body).toString("utf8")) as { mark?: unknown; };
        return String(parsed.mark);
    }
    catch {
        return "";
    }
}
