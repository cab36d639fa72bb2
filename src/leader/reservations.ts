/**
 * Keeps the reservations of workers for gangs from pass to pass, and logs what becomes of them.
 *
 * They are in memory only: a successor makes them anew in its first pass from the same waiting gangs.
 */
import type * as decisions from "../decisions/index";
import type * as observe from "../observe/index";
import type * as entries from "./entries";
import * as expectedEnds from "./expectedEnds";
import type * as units from "./units";

export interface ReservationKeeperOptions {
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    readonly estimateRunMs: units.RunTimeEstimator;
    getWorker(id: string): entries.WorkerEntry;
}

/** The reservations of a term. Times are monotonic, in milliseconds. */
export interface ReservationKeeper {
    getInput(now: number): decisions.ReservationInput;
    /** Takes over the reservations of a pass. */
    record(plan: decisions.Plan, now: number, waiting: readonly units.UnitOfTasks[]): void;
    /** Keys of the units that have a reservation. */
    getUnits(): ReadonlySet<string>;
}

/**
 * Reservations expire if no pass confirms them for this time, as when the store is unavailable: what runs has changed by
 * then. Passes are at most 250 ms apart while units wait.
 */
const EXPIRY_MS = 2_000;

/** Creates the keeper of a term, which has no reservation yet. */
export function createReservationKeeper(options: ReservationKeeperOptions): ReservationKeeper {
    const { log, meter } = options;
    let kept: readonly decisions.Reservation[] = [];
    let confirmedAt = -Infinity;

    const expireOld = (now: number) => {
        if (now - confirmedAt > EXPIRY_MS) {
            kept.forEach(reservation => logEnd(reservation, now, "expired"));
            kept = [];
        }
    };
    const logEnd = (reservation: decisions.Reservation, now: number, outcome: string) => {
        meter.increment("gang_reservations_total", { outcome });
        log.info("gangReservationEnded", {
            unit: reservation.unit,
            outcome,
            madeMsAgo: Math.round(now - reservation.madeAt),
            expectedInMs: Math.round(reservation.startsAt - now),
        });
    };
    const logMade = (
        { unit, workerIds, startsAt }: decisions.Reservation,
        now: number,
        waitedMs: number,
        outcome: "made" | "replaced",
    ) => {
        const workerNames = [...new Set(workerIds)];
        const reports = workerNames.flatMap(id =>
            [...options.getWorker(id).tasks].filter(task => task.phase === "running").map(task => task.lastReportAt)
        );
        meter.increment("gang_reservations_total", { outcome });
        log.info("gangReserved", {
            unit,
            outcome,
            workers: workerNames,
            waitedMs: Math.round(waitedMs),
            startsInMs: Math.round(startsAt - now),
            runningTasks: reports.length,
            oldestReportMs: reports.length > 0 ? Math.round(now - Math.min(...reports)) : undefined,
        });
    };
    return {
        getInput: now => {
            expireOld(now);
            const ends = expectedEnds.createExpectedEnds(now, options.estimateRunMs);
            return { kept, getExpectedEnds: id => ends.list(options.getWorker(id)) };
        },
        record: (plan, now, waiting) => {
            const next = plan.reservations ?? [];
            if (next.length > 0 || kept.length > 0) {
                const previous = new Map(kept.map(reservation => [reservation.unit, reservation]));
                const started = new Set(plan.starts.map(({ unit }) => unit.key));
                const waitedMs = new Map(waiting.map(({ unit }) => [unit.key, unit.waitedMs]));
                for (const reservation of next) {
                    const before = previous.get(reservation.unit);
                    if (before?.madeAt !== reservation.madeAt) {
                        const outcome = before ? "replaced" : "made";
                        logMade(reservation, now, waitedMs.get(reservation.unit) ?? 0, outcome);
                    }
                    previous.delete(reservation.unit);
                }
                for (const reservation of previous.values()) {
                    const outcome = started.has(reservation.unit)
                        ? "used"
                        : waitedMs.has(reservation.unit)
                        ? "givenUp"
                        : "withdrawn";
                    logEnd(reservation, now, outcome);
                }
            }
            kept = next;
            confirmedAt = now;
        },
        getUnits: () => new Set(kept.map(({ unit }) => unit)),
    };
}
