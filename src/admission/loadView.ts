/** The leader's summary as one instance sees it, decoded once for each version of the row. */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as decide from "./decide";
import * as loadSummary from "./loadSummary";

/** A version of the row that holds the summary. */
export interface ObservedRow {
    readonly version: number;
    /** Stored form of the summary; `undefined` if the leader has published none. */
    readonly load: unknown;
    /** Monotonic time at which this instance saw the version. */
    readonly seenAt: number;
}

export interface LoadViewOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    getObservedRow(): ObservedRow | undefined;
}

/** Creates a function that returns the last summary, or `undefined` if there is none that can be decoded. */
export function createLoadView(options: LoadViewOptions): () => decide.LoadView | undefined {
    const { clock: time, log, meter } = options;
    let decodedVersion: number | undefined;
    let summary: loadSummary.LoadSummary | undefined;
    /** One line per row would be two lines a second. */
    let reported = false;
    const decode = ({ version, load }: ObservedRow) => {
        decodedVersion = version;
        summary = load === undefined ? undefined : loadSummary.decodeSummary(load);
        if (load === undefined || summary) {
            reported &&= !summary;
            return;
        }
        meter.increment("entries_unusable_total", { kind: "loadSummary" });
        if (!reported) {
            reported = true;
            log.warn("loadSummaryUnusable", { version });
        }
    };
    return () => {
        const row = options.getObservedRow();
        if (!row) {
            return undefined;
        }
        if (row.version !== decodedVersion) {
            decode(row);
        }
        // The row may have arrived late, and either clock may be wrong; the greater age is the safe one.
        return summary && {
            summary,
            ageMs: Math.max(time.now() - row.seenAt, time.wallTime() - summary.computedAt),
        };
    };
}
