/**
 * What a follower knows of how current its table is, told in lines and figures.
 *
 * What goes wrong without it: the store answers all other calls, one table's reads fail again and again, and the
 * instance goes on with what it read last. Nothing in its lines or figures says so.
 */
import * as clock from "../clock/index";
import type * as observe from "../observe/index";

export interface TableFreshnessOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    readonly table: string;
    readonly signal: AbortSignal;
}

export interface TableFreshness {
    /** An answer to what was asked at `askedAt` has come whole; it holds whatever was written before `asOf`. */
    recordSuccess(askedAt: clock.Timestamp, asOf: clock.Timestamp): void;
    /** An answer has not come, or not whole. */
    recordFailure(why: string): void;
    /** Milliseconds since the moment as of which the table is known for certain; `Infinity` before the first answer. */
    getAgeMs(): number;
}

export function createTableFreshness(options: TableFreshnessOptions): TableFreshness {
    const { clock: time, log, meter, table } = options;
    let currentAt: clock.Timestamp | undefined;
    let lostAt: number | undefined;
    let failures = 0;
    const getAgeMs = () => currentAt ? clock.getElapsedMs(time, currentAt) : Infinity;
    const endGauge = meter.registerGauges(() =>
        currentAt ? [{ metric: "table_age_ms", labels: { table }, value: Math.round(getAgeMs()) }] : []
    );
    options.signal.addEventListener("abort", endGauge, { once: true });
    return {
        recordSuccess: (askedAt, asOf) => {
            currentAt = asOf;
            meter.increment("table_reads_total", { table, outcome: "whole" });
            meter.record("table_read_duration_ms", { table }, time.now() - askedAt.monotonicMs);
            if (lostAt !== undefined) {
                log.info("tableRegained", { table, lostMs: Math.round(time.now() - lostAt), failures });
                lostAt = undefined;
                failures = 0;
            }
        },
        recordFailure: why => {
            failures++;
            meter.increment("table_reads_total", { table, outcome: "failed" });
            if (lostAt === undefined) {
                lostAt = time.now();
                const ageMs = currentAt && Math.round(getAgeMs());
                log.warn("tableLost", { table, why, ageMs });
            }
        },
        getAgeMs,
    };
}
