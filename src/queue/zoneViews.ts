/** A zone's queue as operators and the owners of other queues see it. */
import type * as configuration from "../configuration/index";
import type * as peer from "../peer/index";
import * as placement from "../placement/index";
import type * as queueEntry from "./entry";
import type * as schedulerModule from "./scheduler";

export interface ZoneStatus {
    readonly zone: string;
    readonly waiting: number;
    readonly running: number;
    readonly freeAccelerators: number;
    readonly fragmentation: number;
    /** Guaranteed blocks that have no home at the moment. */
    readonly unplacedBlocks: number;
    /** Accelerators in use by account. */
    readonly useByAccount: Readonly<Record<string, number>>;
}

export interface ZoneView {
    readonly zone: string;
    readonly entries: ReadonlyMap<string, queueEntry.QueueEntry>;
    readonly scheduler: schedulerModule.Scheduler;
    readonly getConfiguration: () => configuration.Configuration;
}

export function getLoad(view: ZoneView): peer.ZoneLoad {
    let waitingWorkMs = 0;
    const waiting: Record<string, number> = {};
    const unfinished: Record<string, number> = {};
    for (const { job } of view.entries.values()) {
        unfinished[job.account] = (unfinished[job.account] ?? 0) + 1;
    }
    for (const job of view.scheduler.queue.getJobs()) {
        const key = `${job.account}/${job.jobClass}`;
        waiting[key] = (waiting[key] ?? 0) + 1;
        const predicted = view.scheduler.predictor.predict(job.account, job.jobClass, job.declaredMs);
        waitingWorkMs += predicted * Math.max(1, job.accelerators);
    }
    const { accounts } = view.getConfiguration().contracts;
    return {
        zone: view.zone,
        freeAccelerators: view.scheduler.books.getFreeAccelerators(),
        largestFreeBlock: view.scheduler.books.getLargestFreeBlock(),
        largestHole: view.scheduler.books.getLargestHole(),
        waitingWorkMs,
        unfinished,
        waiting,
        freeGuaranteed: Object.fromEntries(
            accounts.map(account => [account.name, view.scheduler.books.getLargestFreeGuaranteed(account.name)]),
        ),
    };
}

export function getStatus(view: ZoneView, unplacedBlocks: number): ZoneStatus {
    const { accounts } = view.getConfiguration().contracts;
    const free = view.scheduler.books.getFreeAccelerators();
    return {
        zone: view.zone,
        waiting: view.scheduler.queue.size(),
        running: view.scheduler.running.size,
        freeAccelerators: free,
        fragmentation: placement.getFragmentation(free, view.scheduler.books.getWholeFreeAccelerators()),
        unplacedBlocks,
        useByAccount: Object.fromEntries(accounts.map(item => [item.name, view.scheduler.books.getUse(item.name)])),
    };
}

/** The workers of a zone, with what queued work may take of each. */
export function getShapes(current: configuration.Configuration, zone: string): placement.WorkerShape[] {
    const reserve = current.contracts.limits.interactiveReserve;
    return current.topology.racks.flatMap((rack, rackIndex) =>
        rack.zone === zone
            ? rack.workers.map(worker => ({
                id: worker.id,
                rackId: rack.id,
                rackIndex,
                capacity: placement.subtractNeeds(rack.capacity ?? current.topology.capacity, {
                    accelerators: 0,
                    ...reserve,
                }),
            }))
            : []
    );
}
