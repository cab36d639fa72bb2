/**
 * The check that keeps every guarantee reclaimable: on each worker, non-evictable tasks may exceed their account's home
 * only within the resources that are not part of any home.
 *
 * Without it, a task that cannot be stopped without losing work could be placed on another account's home and block
 * that account's guaranteed jobs for as long as it runs. This would show as `reclaim` times above the grace period.
 */
import type * as fleetModule from "./fleet";
import * as needs from "./needs";

/** The properties of a worker that the check uses. */
export interface WorkerAllocation {
    readonly capacity: needs.Needs;
    readonly homes: ReadonlyMap<string, number>;
    readonly homeTotal: number;
    readonly tasks: ReadonlyMap<string, Pick<fleetModule.PlacedTask, "account" | "needs" | "evictable">>;
}

/** Whether every account could still reclaim its homes on the worker if the task were placed there. */
export function staysReclaimable(
    worker: WorkerAllocation,
    task: Pick<fleetModule.PlacedTask, "account" | "needs" | "evictable">,
): boolean {
    if (task.evictable || worker.homeTotal === 0) {
        return true;
    }
    const nonEvictableUse = new Map<string, needs.Needs>([[task.account, task.needs]]);
    for (const booked of worker.tasks.values()) {
        if (!booked.evictable) {
            nonEvictableUse.set(
                booked.account,
                needs.addNeeds(nonEvictableUse.get(booked.account) ?? needs.NO_NEEDS, booked.needs),
            );
        }
    }
    let beyondHomes = needs.NO_NEEDS;
    for (const [account, used] of nonEvictableUse) {
        const home = getHomeShare(worker, worker.homes.get(account) ?? 0);
        beyondHomes = needs.addNeeds(beyondHomes, getExcess(used, home));
    }
    const unguaranteed = needs.subtractNeeds(worker.capacity, getHomeShare(worker, worker.homeTotal));
    return needs.fitsWithin(beyondHomes, unguaranteed);
}

/** The resources of a home: the same share of each resource as of the worker's accelerators. */
function getHomeShare(worker: WorkerAllocation, accelerators: number): needs.Needs {
    return needs.scaleNeeds(worker.capacity, accelerators / Math.max(1, worker.capacity.accelerators));
}

function getExcess(used: needs.Needs, home: needs.Needs): needs.Needs {
    return {
        accelerators: Math.max(0, used.accelerators - home.accelerators),
        slots: Math.max(0, used.slots - home.slots),
        cpus: Math.max(0, used.cpus - home.cpus),
        memoryMb: Math.max(0, used.memoryMb - home.memoryMb),
    };
}
