/** What callers really got: one record for each request, kept by its mark. */
import * as observe from "../observe/index";

export interface CallerRecord {
    readonly mark: string;
    readonly account: string;
    readonly jobClass: string;
    readonly repeatable: boolean;
    readonly accelerators: number;
    readonly cancelled: boolean;
    readonly submittedAt: number;
    /** The site took the request: it answered "accepted", or began to serve it. */
    accepted: boolean;
    /** `open` until the caller knows the outcome. */
    outcome: "open" | "done" | "failed" | "notRun" | "unknown";
    code: number | undefined;
    endedAt: number | undefined;
    /** Mark found in the answer, when there was one. */
    answerMark: string | undefined;
}

export interface LoadSummary {
    readonly sent: number;
    readonly accepted: number;
    readonly completed: number;
    readonly failed: number;
    readonly notRun: number;
    readonly unknown: number;
    readonly open: number;
    readonly crossed: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly byClass: Readonly<
        Record<string, { readonly completed: number; readonly p50Ms: number; readonly p99Ms: number; }>
    >;
    readonly refusalCodes: Readonly<Record<string, number>>;
}

export interface CallerLog {
    add(record: CallerRecord): void;
    getRecords(): readonly CallerRecord[];
    summarize(): LoadSummary;
}

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
