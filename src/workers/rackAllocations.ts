/** Resources of a rack's workers that queued tasks and interactive requests occupy, as known to the rack's owner. */
import type * as configuration from "../configuration/index";
import * as placement from "../placement/index";
import type * as workerSession from "./workerSession";

/** Resource allocations on the workers of one rack. */
export interface RackAllocations {
    /** Resources that are free on the worker for an interactive request. */
    getFree(session: workerSession.WorkerSession): placement.Needs;
    /** Whether a further queued task fits on the worker without the resources reserved for interactive requests. */
    hasRoom(session: workerSession.WorkerSession, needs: placement.Needs): boolean;
    /** Number of interactive requests on the worker. */
    getInteractiveCount(workerId: string): number;
    /** Allocates resources to an interactive request; the returned function releases them. */
    registerInteractive(workerId: string, needs: placement.Needs): () => void;
}

/** Creates the allocations of a rack; no interactive request is registered. */
export function createRackAllocations(
    getCapacity: (workerId: string) => configuration.Capacity,
    getReserve: () => configuration.Limits["interactiveReserve"],
): RackAllocations {
    const interactive = new Map<string, { count: number; needs: placement.Needs; }>();

    const getQueuedNeeds = (session: workerSession.WorkerSession): placement.Needs => {
        let used = placement.NO_NEEDS;
        for (const task of session.getTasks().values()) {
            const holds = task.status.state === "prepared" || task.status.state === "running";
            if (holds && task.status.queueZone !== "") {
                used = placement.addNeeds(used, task.status.needs);
            }
        }
        return used;
    };

    return {
        getFree: session => {
            const queued = placement.subtractNeeds(getCapacity(session.workerId), getQueuedNeeds(session));
            return placement.subtractNeeds(queued, interactive.get(session.workerId)?.needs ?? placement.NO_NEEDS);
        },
        hasRoom: (session, needs) => {
            const capacity = placement.subtractNeeds(getCapacity(session.workerId), {
                accelerators: 0,
                ...getReserve(),
            });
            return placement.fitsWithin(needs, placement.subtractNeeds(capacity, getQueuedNeeds(session)));
        },
        getInteractiveCount: workerId => interactive.get(workerId)?.count ?? 0,
        registerInteractive: (workerId, needs) => {
            const before = interactive.get(workerId) ?? { count: 0, needs: placement.NO_NEEDS };
            interactive.set(workerId, { count: before.count + 1, needs: placement.addNeeds(before.needs, needs) });
            return () => {
                const current = interactive.get(workerId)!;
                interactive.set(workerId, {
                    count: current.count - 1,
                    needs: placement.subtractNeeds(current.needs, needs),
                });
            };
        },
    };
}
