/**
 * The check that keeps every guarantee reclaimable.
 *
 * What goes wrong without it: a task that cannot be stopped without losing work for good is placed on accelerators that
 * are another account's home. When that account wants its guaranteed shape, the task is in the way for as long as it
 * runs; one notices it by `reclaim` times above the grace. The rule: on each worker, tasks that cannot be evicted may
 * exceed their account's own home only within what is nobody's home, in every dimension.
 */
import type * as fleet from "./fleet";
import * as needs from "./needs";

/** What the check needs of a worker; the scheduler's books and a rack owner's books both have it. */
export interface ReclaimBooks {
    readonly capacity: needs.Needs;
    readonly homes: ReadonlyMap<string, number>;
    readonly homeTotal: number;
    readonly tasks: ReadonlyMap<string, Pick<fleet.BookedTask, "account" | "needs" | "evictable">>;
}

/** Whether every account could still reclaim its homes on the worker if this task ran there. */
export function staysReclaimable(
    worker: ReclaimBooks,
    task: Pick<fleet.BookedTask, "account" | "needs" | "evictable">,
): boolean {
    if (task.evictable || worker.homeTotal === 0) {
        return true;
    }
    const hardUse = new Map<string, needs.Needs>([[task.account, task.needs]]);
    for (const booked of worker.tasks.values()) {
        if (!booked.evictable) {
            hardUse.set(booked.account, needs.addNeeds(hardUse.get(booked.account) ?? needs.NO_NEEDS, booked.needs));
        }
    }
    let beyondHomes = needs.NO_NEEDS;
    for (const [account, used] of hardUse) {
        const home = getHomeShare(worker, worker.homes.get(account) ?? 0);
        beyondHomes = needs.addNeeds(beyondHomes, getExcess(used, home));
    }
    const unreserved = needs.subtractNeeds(worker.capacity, getHomeShare(worker, worker.homeTotal));
    return needs.fitsWithin(beyondHomes, unreserved);
}

/** A home of some of the accelerators comes with the same share of the other dimensions. */
function getHomeShare(worker: ReclaimBooks, accelerators: number): needs.Needs {
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
