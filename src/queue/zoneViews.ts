/** Status of a zone's queue for operators, and its load for the owners of other queues. */
import type * as configuration from "../configuration/index";
import type * as peer from "../peer/index";
import * as placement from "../placement/index";
import type * as queueEntry from "./entry";
import type * as schedulerModule from "./scheduler";

/** The status of a zone's queue for operators. */
export interface ZoneStatus {
    readonly zone: string;
    readonly waiting: number;
    readonly running: number;
    readonly freeAccelerators: number;
    readonly fragmentation: number;
    /** Number of guaranteed blocks that the current plan could not place. */
    readonly unplacedBlocks: number;
    /** Accelerators in use by account. */
    readonly useByAccount: Readonly<Record<string, number>>;
}

/** What load and status are computed from. */
export interface ZoneView {
    readonly zone: string;
    readonly entries: ReadonlyMap<string, queueEntry.QueueEntry>;
    readonly scheduler: schedulerModule.Scheduler;
    readonly getConfiguration: () => configuration.Configuration;
}

/** The zone's load: free resources and waiting work, by account where it matters for the choice of a zone. */
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
        freeAccelerators: view.scheduler.fleet.getFreeAccelerators(),
        largestFreeBlock: view.scheduler.fleet.getLargestFreeBlock(),
        largestHole: view.scheduler.fleet.getLargestHole(),
        waitingWorkMs,
        unfinished,
        waiting,
        freeGuaranteed: Object.fromEntries(
            accounts.map(account => [account.name, view.scheduler.fleet.getLargestFreeGuaranteed(account.name)]),
        ),
    };
}

/** The zone's status; `unplacedBlocks` is taken from the current guarantee plan. */
export function getStatus(view: ZoneView, unplacedBlocks: number): ZoneStatus {
    const { accounts } = view.getConfiguration().contracts;
    const free = view.scheduler.fleet.getFreeAccelerators();
    return {
        zone: view.zone,
        waiting: view.scheduler.queue.size(),
        running: view.scheduler.running.size,
        freeAccelerators: free,
        fragmentation: placement.getFragmentation(free, view.scheduler.fleet.getFullyFreeAccelerators()),
        unplacedBlocks,
        useByAccount: Object.fromEntries(accounts.map(item => [item.name, view.scheduler.fleet.getUse(item.name)])),
    };
}

/** The workers of a zone, each with its capacity for queued tasks: without the reserve for interactive requests. */
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
