/**
 * Tracks how current a followed table is, and reports it in the log and in metrics.
 *
 * The reads of one table may fail while the store answers all other calls. The instance then goes on with old rows, and
 * no other log line or metric shows it.
 */
import * as clock from "../clock/index";
import type * as observe from "../observe/index";

/** The table and the ports through which its freshness is reported. */
export interface TableFreshnessOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    readonly table: string;
    readonly signal: AbortSignal;
}

/** Freshness of a followed table. */
export interface TableFreshness {
    /** Records a complete answer to a call sent at `askedAt`; it covers all writes before `asOf`. */
    recordSuccess(askedAt: clock.Timestamp, asOf: clock.Timestamp): void;
    /** Records a call without a complete answer. */
    recordFailure(why: string): void;
    /** Milliseconds since the table was certainly current; `Infinity` before the first answer. */
    getAgeMs(): number;
}

/** Creates the freshness of a table without any answer yet, and registers its gauge until the signal is aborted. */
export function createTableFreshness(options: TableFreshnessOptions): TableFreshness {
    const { clock: time, log, meter, table } = options;
    let currentAsOf: clock.Timestamp | undefined;
    let failingSince: number | undefined;
    let failures = 0;
    const getAgeMs = () => currentAsOf ? clock.getElapsedMs(time, currentAsOf) : Infinity;
    const unregisterGauge = meter.registerGauges(() =>
        currentAsOf ? [{ metric: "table_age_ms", labels: { table }, value: Math.round(getAgeMs()) }] : []
    );
    options.signal.addEventListener("abort", unregisterGauge, { once: true });
    return {
        recordSuccess: (askedAt, asOf) => {
            currentAsOf = asOf;
            meter.increment("table_reads_total", { table, outcome: "whole" });
            meter.record("table_read_duration_ms", { table }, time.now() - askedAt.monotonicMs);
            if (failingSince !== undefined) {
                log.info("tableRegained", { table, lostMs: Math.round(time.now() - failingSince), failures });
                failingSince = undefined;
                failures = 0;
            }
        },
        recordFailure: why => {
            failures++;
            meter.increment("table_reads_total", { table, outcome: "failed" });
            if (failingSince === undefined) {
                failingSince = time.now();
                const ageMs = currentAsOf && Math.round(getAgeMs());
                log.warn("tableLost", { table, why, ageMs });
            }
        },
        getAgeMs,
    };
}
