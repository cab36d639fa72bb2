/** Determines which workers are eligible for tasks now. */
import type * as catalogs from "../catalog/index";
import * as decisions from "../decisions/index";
import type * as entries from "./entries";
import * as suspects from "./suspects";

export interface PlacementFilterOptions {
    readonly catalog: Pick<catalogs.CurrentCatalog, "get">;
    /** How long a start may rely on a reported capacity, in milliseconds. */
    readonly capacityMs: number;
    readonly disabledMechanisms: ReadonlySet<decisions.Mechanism>;
    hasSession(worker: entries.WorkerEntry): boolean;
}

/** Time from a placement until its start order reaches the worker. */
const ORDER_DELIVERY_MS = 600;

/** Decides which workers are eligible for placements and starts. */
export interface PlacementFilter {
    /** Whether tasks may be placed on the worker. */
    isPlaceable(worker: entries.WorkerEntry, now: number): boolean;
    /** Whether a start of a task placed earlier may still be sent: storing its row may have taken seconds. */
    mayStart(worker: entries.WorkerEntry, now: number): boolean;
}

export function createPlacementFilter(options: PlacementFilterOptions): PlacementFilter {
    const refusesOverload = ({ info }: entries.WorkerEntry) =>
        options.catalog.get()?.services.some(service => service.name === info.service && service.refusesOverload)
            ?? false;
    /** Whether the last report is recent: the capacity may have shrunk while the directory was unreachable. */
    const isReportRecent = (worker: entries.WorkerEntry, now: number, maxAgeMs: number) =>
        worker.reportedAt !== undefined && now - worker.reportedAt <= maxAgeMs;
    return {
        isPlaceable: (worker, now) =>
            worker.listed && worker.reachable && !worker.info.draining && !worker.reserved
            && worker.unknownRunCount === 0
            && worker.quarantinedUntil <= now && options.hasSession(worker)
            && (isReportRecent(worker, now, options.capacityMs - ORDER_DELIVERY_MS) || refusesOverload(worker))
            && (options.disabledMechanisms.has("isolation") || !suspects.hasUnsettledSuspect(worker)),
        mayStart: (worker, now) =>
            !worker.info.draining
            && (refusesOverload(worker)
                || (decisions.fitsWithin(worker.used, worker.info.capacity)
                    && isReportRecent(worker, now, options.capacityMs))),
    };
}
