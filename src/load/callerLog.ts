/** Records what callers receive: one record per request, identified by its mark. */
import * as observe from "../observe/index";

/** A request and its outcome as the caller saw them. Times are monotonic milliseconds. */
export interface CallerRecord {
    /** Unique id of the request; the answer to the request contains it. */
    readonly mark: string;
    readonly account: string;
    readonly jobClass: string;
    readonly repeatable: boolean;
    readonly accelerators: number;
    readonly cancelled: boolean;
    readonly submittedAt: number;
    /** Whether the site accepted the request: it accepted the job, or returned the result. */
    accepted: boolean;
    /** `open` until the caller knows the outcome. */
    outcome: "open" | "done" | "failed" | "notRun" | "unknown";
    code: number | undefined;
    endedAt: number | undefined;
    /** Mark in the answer; `undefined` when no answer with a result arrived. */
    answerMark: string | undefined;
}

/** Totals over all records. Times are in milliseconds. */
export interface LoadSummary {
    readonly sent: number;
    readonly accepted: number;
    readonly completed: number;
    readonly failed: number;
    readonly notRun: number;
    readonly unknown: number;
    readonly open: number;
    /** Requests whose answer belonged to another request. */
    readonly crossed: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly byClass: Readonly<
        Record<string, { readonly completed: number; readonly p50Ms: number; readonly p99Ms: number; }>
    >;
    /** Number of requests that did not succeed, by result code. */
    readonly refusalCodes: Readonly<Record<string, number>>;
}

/** Collects records and summarizes them. */
export interface CallerLog {
    add(record: CallerRecord): void;
    getRecords(): readonly CallerRecord[];
    summarize(): LoadSummary;
}

/** Creates an empty log. */
export function createCallerLog(): CallerLog {
    const records: CallerRecord[] = [];
    const count = (outcome: CallerRecord["outcome"]) => records.filter(record => record.outcome === outcome).length;
    return {
        add: record => {
            records.push(record);
        },
        getRecords: () => records,
        summarize: () => {
            const histograms = observe.createHistograms();
            const refusalCodes: Record<string, number> = {};
            for (const record of records) {
                if (record.outcome === "done") {
                    const ms = record.endedAt! - record.submittedAt;
                    histograms.record("all", "all", ms);
                    histograms.record("class", record.jobClass, ms);
                }
                else if (record.code !== undefined) {
                    refusalCodes[record.code] = (refusalCodes[record.code] ?? 0) + 1;
                }
            }
            const summaries = histograms.getSummaries();
            const all = summaries.find(item => item.account === "all");
            const byClass = summaries.filter(item => item.account === "class").map(item =>
                [item.jobClass, { completed: item.count, p50Ms: item.p50Ms, p99Ms: item.p99Ms }] as const
            );
            return {
                sent: records.length,
                accepted: records.filter(record => record.accepted).length,
                completed: count("done"),
                failed: count("failed"),
                notRun: count("notRun"),
                unknown: count("unknown"),
                open: count("open"),
                crossed: records.filter(record => record.answerMark !== undefined && record.answerMark !== record.mark)
                    .length,
                p50Ms: all?.p50Ms ?? 0,
                p99Ms: all?.p99Ms ?? 0,
                byClass: Object.fromEntries(byClass),
                refusalCodes,
            };
        },
    };
}
