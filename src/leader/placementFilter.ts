/** Determines which workers are eligible for tasks now. */
import type * as catalogs from "../catalog/index";
import * as decisions from "../decisions/index";
import type * as evacuation from "../evacuation/index";
import type * as entries from "./entries";
import * as workerLosses from "./losses/index";

export interface PlacementFilterOptions {
    readonly catalog: Pick<catalogs.CurrentCatalog, "get">;
    readonly evacuations: Pick<evacuation.Evacuations, "isEvacuated" | "mayStartIn">;
    /** How long a start may rely on a reported capacity, in milliseconds. */
    readonly capacityMs: number;
    readonly disabledMechanisms: ReadonlySet<decisions.Mechanism>;
    hasSession(worker: entries.WorkerEntry): boolean;
}

/** Time from a placement until its start order reaches the worker. */
const ORDER_DELIVERY_MS = 600;

/** Why a task that was placed on a worker must not be started there. */
export const StartObstacle = {
    Draining: "draining",
    ZoneEvacuated: "zoneEvacuated",
    /** The evacuated zones were last known too long ago. */
    EvacuationsOutdated: "evacuationsOutdated",
    CapacityReduced: "capacityReduced",
    /** The worker last reported its capacity too long ago. */
    ReportOutdated: "reportOutdated",
} as const;
export type StartObstacle = typeof StartObstacle[keyof typeof StartObstacle];

/** Decides which workers are eligible for placements and starts. */
export interface PlacementFilter {
    /** Whether tasks may be placed on the worker. */
    isPlaceable(worker: entries.WorkerEntry, now: number): boolean;
    /**
     * Why a start of a task placed earlier must not be sent any more, since storing its row may have taken seconds;
     * `undefined` if it may.
     */
    findStartObstacle(worker: entries.WorkerEntry, now: number): StartObstacle | undefined;
}

export function createPlacementFilter(options: PlacementFilterOptions): PlacementFilter {
    const refusesOverload = ({ info }: entries.WorkerEntry) =>
        options.catalog.get()?.services.some(service => service.name === info.service && service.refusesOverload)
            ?? false;
    /** Whether the last report is recent: the capacity may have shrunk while the directory was unreachable. */
    const isReportRecent = (worker: entries.WorkerEntry, now: number, maxAgeMs: number) =>
        worker.reportedAt !== undefined && now - worker.reportedAt <= maxAgeMs;
    const { evacuations } = options;
    return {
        isPlaceable: (worker, now) =>
            evacuations.mayStartIn(worker.info.zone, ORDER_DELIVERY_MS)
            && worker.listed && worker.reachable && !worker.info.draining && !worker.reserved
            && worker.unknownRunCount === 0
            && worker.quarantinedUntil <= now && options.hasSession(worker)
            && (isReportRecent(worker, now, options.capacityMs - ORDER_DELIVERY_MS) || refusesOverload(worker))
            && (options.disabledMechanisms.has("isolation") || !workerLosses.hasUnsettledSuspect(worker)),
        findStartObstacle: (worker, now) => {
            const { zone, draining, capacity } = worker.info;
            if (draining) {
                return StartObstacle.Draining;
            }
            if (!evacuations.mayStartIn(zone, ORDER_DELIVERY_MS)) {
                return evacuations.isEvacuated(zone) ? StartObstacle.ZoneEvacuated : StartObstacle.EvacuationsOutdated;
            }
            if (refusesOverload(worker)) {
                return undefined;
            }
            if (!decisions.fitsWithin(worker.used, capacity)) {
                return StartObstacle.CapacityReduced;
            }
            return isReportRecent(worker, now, options.capacityMs) ? undefined : StartObstacle.ReportOutdated;
        },
    };
}
