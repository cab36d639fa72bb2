/** Sends streams of requests at given rates and follows each to its outcome. */
import * as crypto from "node:crypto";
import type * as clock from "../clock/index";
import type * as random from "../random/index";
import type * as result from "../result/index";
import type * as callerLog from "./callerLog";
import type * as callersClient from "./callersClient";

export interface LoadStream {
    readonly account: string;
    readonly key: string;
    readonly jobClass: "interactive" | "urgent" | "batch";
    /** Mean rate; arrivals are a Poisson process. */
    readonly perSecond: number;
    /** Requests that arrive together; 1 for none. */
    readonly burst: number;
    readonly accelerators: readonly number[];
    readonly adjacency: "any" | "worker" | "rack" | "adjacentRacks";
    readonly repeatable: boolean;
    /** Mean run time of the work, in milliseconds; exponentially distributed. */
    readonly runMs: number;
    /** Declared over real run time; how far it is off varies with it. */
    readonly declaredFactor: number;
    readonly deadlineMs?: number;
    /** Share of requests that are submitted a second time under the same request id, at another entry. */
    readonly duplicates: number;
    /** Share of jobs that are cancelled soon after they were accepted. */
    readonly cancellations: number;
}

export interface LoadOptions {
    readonly clock: clock.Clock;
    readonly rng: random.Random;
    readonly client: callersClient.CallersClient;
    readonly log: callerLog.CallerLog;
    /** How long a caller goes on asking for an outcome. */
    readonly patienceMs: number;
}

export interface Load {
    /** Sends the streams until the signal is aborted, then waits for all outcomes. */
    run(streams: readonly LoadStream[], signal: AbortSignal): Promise<void>;
}

const RETRY_PAUSE_MS = 250;
const POLL_MS = 5000;
const CANCEL_AFTER_MS = 50;

export function createLoad(options: LoadOptions): Load {
    const { clock: time, rng, client, log } = options;

    const finish = (
        record: callerLog.CallerRecord,
        outcome: callerLog.CallerRecord["outcome"],
        code: number | undefined,
    ) => {
        record.outcome = outcome;
        record.code = code;
        record.endedAt = time.now();
    };

    /** "Not run" holds for the request only if no earlier submission of it may have run. */
    const finishRefused = (record: callerLog.CallerRecord, code: number, ran: result.Ran, inDoubt: boolean) => {
        const outcome = ran === "yes" ? "failed" : ran === "unknown" || inDoubt ? "unknown" : "notRun";
        finish(record, outcome, code);
    };

    /** An interactive request: one answer, or a repetition with the same id while the outcome is open. */
    const callInteractive = async (
        record: callerLog.CallerRecord,
        stream: LoadStream,
        body: Readonly<Record<string, unknown>>,
    ): Promise<void> => {
        const giveUpAt = time.now() + options.patienceMs;
        let inDoubt = false;
        while (time.now() < giveUpAt) {
            const answer = await client.submit(stream.key, body, 0);
            if (answer.kind === "done") {
                record.accepted = true;
                record.answerMark = readMark(answer.body);
                finish(record, "done", undefined);
                return;
            }
            if (answer.kind === "refused" && answer.ran !== "unknown") {
                finishRefused(record, answer.code, answer.ran, inDoubt);
                return;
            }
            inDoubt = inDoubt || answer.kind !== "unreachable";
            // Not known: ask again under the same id, which is safe also for work that may run only once.
            record.code = answer.kind === "refused" ? answer.code : undefined;
            await time.sleep(RETRY_PAUSE_MS);
        }
        finish(record, "unknown", record.code);
    };

    const followJob = async (record: callerLog.CallerRecord, stream: LoadStream, requestId: string): Promise<void> => {
        const giveUpAt = time.now() + options.patienceMs;
        while (time.now() < giveUpAt) {
            const answer = await client.get(stream.key, requestId, POLL_MS);
            if (answer.kind === "job" && answer.state === "done") {
                const found = await client.getResult(stream.key, requestId);
                if (found.kind === "done") {
                    record.answerMark = readMark(found.body);
                    finish(record, "done", undefined);
                    return;
                }
            }
            if (answer.kind === "job" && (answer.state === "failed" || answer.state === "notRun")) {
                finish(record, answer.state, answer.code);
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
        let inDoubt = false;
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
                finishRefused(record, answer.code, answer.ran, inDoubt);
                return;
            }
            inDoubt = inDoubt || answer.kind !== "unreachable";
            await time.sleep(RETRY_PAUSE_MS);
        }
        finish(record, "unknown", record.code);
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
        const [, other] = await Promise.all([call, duplicate]);
        const otherRan = other && !(other.kind === "unreachable" || (other.kind === "refused" && other.ran === "no"));
        if (record.outcome === "notRun" && otherRan) {
            // The request did not run only if all its submissions say so.
            record.outcome = "unknown";
        }
    };

    const runStream = async (stream: LoadStream, signal: AbortSignal): Promise<void> => {
        const underWay = new Set<Promise<void>>();
        const meanGapMs = 1000 * stream.burst / stream.perSecond;
        let nextAt = time.now() + rng.nextExponential(meanGapMs);
        while (!signal.aborted) {
            await time.sleep(Math.max(0, nextAt - time.now()), signal);
            while (nextAt <= time.now() && !signal.aborted) {
                nextAt += rng.nextExponential(meanGapMs);
                for (let count = 0; count < stream.burst; count++) {
                    const sending: Promise<void> = send(stream).finally(() => underWay.delete(sending));
                    underWay.add(sending);
                }
            }
        }
        await Promise.all(underWay);
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
