/** What the workers of a rack hold, as their owner knows it: tasks of queues, and interactive requests under way. */
import type * as configuration from "../configuration/index";
import * as placement from "../placement/index";
import type * as workerSession from "./workerSession";

export interface RackBooks {
    /** What is free on the worker for an interactive request. */
    getFree(session: workerSession.WorkerSession): placement.Needs;
    /** Whether a queued task still fits beside what runs, with the interactive reserve kept. */
    hasRoom(session: workerSession.WorkerSession, needs: placement.Needs): boolean;
    getInteractive(workerId: string): number;
    /** Counts an interactive request in. Returns the undo. */
    registerInteractive(workerId: string, needs: placement.Needs): () => void;
}

export function createRackBooks(
    getCapacity: (workerId: string) => configuration.Capacity,
    getReserve: () => configuration.Limits["interactiveReserve"],
): RackBooks {
    const interactive = new Map<string, { count: number; needs: placement.Needs; }>();

    const getQueued = (session: workerSession.WorkerSession): placement.Needs => {
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
            const queued = placement.subtractNeeds(getCapacity(session.workerId), getQueued(session));
            return placement.subtractNeeds(queued, interactive.get(session.workerId)?.needs ?? placement.NO_NEEDS);
        },
        hasRoom: (session, needs) => {
            const capacity = placement.subtractNeeds(getCapacity(session.workerId), {
                accelerators: 0,
                ...getReserve(),
            });
            return placement.fitsWithin(needs, placement.subtractNeeds(capacity, getQueued(session)));
        },
        getInteractive: workerId => interactive.get(workerId)?.count ?? 0,
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
