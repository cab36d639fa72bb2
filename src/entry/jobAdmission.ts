/** Whether a job is taken, and into which zone's queue. */
import type * as configuration from "../configuration/index";
import type * as jobs from "../jobs/index";
import type * as peer from "../peer/index";
import * as placement from "../placement/index";
import * as queue from "../queue/index";
import * as result from "../result/index";

export interface JobAdmission {
    /** `deadlineMs`: time until the job must have started. */
    chooseZone(
        account: configuration.Account,
        spec: jobs.JobSpec,
        deadlineMs: number | undefined,
    ): result.Result<string>;
    /** A zone other than `from` that has room for the job now. */
    findZoneWithRoom(
        job: { readonly account: string; readonly accelerators: number; },
        from: string,
    ): string | undefined;
}

export interface JobAdmissionOptions {
    readonly ownZone: string;
    readonly getConfiguration: () => configuration.Configuration | undefined;
    /** What the owners of the zones' queues last said; a zone that was not heard of is missing. */
    readonly getZoneLoads: () => readonly peer.ZoneLoad[];
}

const RETRY_AFTER_MS = 2000;
/** A deadline is refused early only when the expected wait exceeds it by this factor, since the expectation is rough. */
const DEADLINE_FACTOR = 2;

export function createJobAdmission(options: JobAdmissionOptions): JobAdmission {
    /** Zones that could ever hold a job of this shape, by shape; computed anew for each configuration. */
    let fits: { readonly of: configuration.Configuration; readonly zones: Map<string, readonly string[]>; } | undefined;

    const getFittingZones = (current: configuration.Configuration, spec: jobs.JobSpec): readonly string[] => {
        if (fits?.of !== current) {
            fits = { of: current, zones: new Map() };
        }
        const key = [spec.accelerators, spec.adjacency, spec.cpusPerAccelerator, spec.memoryMbPerAccelerator].join("|");
        const known = fits.zones.get(key);
        if (known) {
            return known;
        }
        const req: placement.PlaceRequest = {
            jobId: "",
            account: "",
            accelerators: spec.accelerators,
            adjacency: spec.adjacency,
            cpusPerAccelerator: spec.cpusPerAccelerator,
            memoryMbPerAccelerator: spec.memoryMbPerAccelerator,
            evictable: true,
            predictedEndAt: 0,
            excludedWorkers: new Set(),
        };
        const zones = current.topology.zones.filter(zone => placement.canEverFit(queue.getShapes(current, zone), req));
        fits.zones.set(key, zones);
        return zones;
    };

    const checkLimits = (
        account: configuration.Account,
        spec: jobs.JobSpec,
        limits: configuration.Limits,
        loads: readonly peer.ZoneLoad[],
    ): result.Result<void> => {
        const unfinished = loads.reduce((sum, load) => sum + (load.unfinished[account.name] ?? 0), 0);
        if (unfinished >= account.maxUnfinishedJobs) {
            return result.refuse(
                result.ResultCode.AccountLimit,
                `account "${account.name}" has ${unfinished} unfinished jobs, the limit is ${account.maxUnfinishedJobs}`,
                { retryAfterMs: RETRY_AFTER_MS },
            );
        }
        const waiting = loads.reduce((sum, load) => sum + (load.waiting[`${account.name}/${spec.jobClass}`] ?? 0), 0);
        return waiting >= limits.jobQueue
            ? result.refuse(result.ResultCode.QueueFull, `${waiting} jobs of class ${spec.jobClass} wait already`, {
                retryAfterMs: RETRY_AFTER_MS,
            })
            : result.ok(undefined);
    };

    const getExpectedWaitMs = (current: configuration.Configuration, load: peer.ZoneLoad): number => {
        const total = queue.getShapes(current, load.zone).reduce((sum, shape) => sum + shape.capacity.accelerators, 0);
        return load.freeAccelerators > 0 ? 0 : load.waitingWorkMs / Math.max(1, total);
    };

    return {
        chooseZone: (account, spec, deadlineMs) => {
            const current = options.getConfiguration();
            if (!current) {
                return result.refuse(result.ResultCode.StoreUnavailable, "the configuration is not known yet", {
                    retryAfterMs: RETRY_AFTER_MS,
                });
            }
            const zones = getFittingZones(current, spec);
            if (zones.length === 0) {
                return result.refuse(
                    result.ResultCode.CanNeverRun,
                    `no zone can ever hold ${spec.accelerators} accelerators (adjacency ${spec.adjacency}, `
                        + `${spec.cpusPerAccelerator} cpus and ${spec.memoryMbPerAccelerator} MB each)`,
                );
            }
            const loads = options.getZoneLoads().filter(load => zones.includes(load.zone));
            const limited = checkLimits(account, spec, current.contracts.limits, loads);
            if (!limited.ok) {
                return limited;
            }
            if (loads.length === 0) {
                return result.ok(zones.includes(options.ownZone) ? options.ownZone : zones[0]!);
            }
            const shortest = Math.min(...loads.map(load => getExpectedWaitMs(current, load)));
            if (deadlineMs !== undefined && shortest > deadlineMs * DEADLINE_FACTOR) {
                return result.refuse(
                    result.ResultCode.DeadlineTooSoon,
                    `the expected wait of ${Math.round(shortest)} ms exceeds the deadline`,
                    { retryAfterMs: Math.round(shortest) },
                );
            }
            return result.ok(pickBest(loads, account.name, spec.accelerators, options.ownZone));
        },
        findZoneWithRoom: (job, from) =>
            options.getZoneLoads().find(load =>
                load.zone !== from && getRoom(load, job.account, job.accelerators) > Room.None
            )?.zone,
    };
}

/** How well a job would start in a zone now; higher is better. */
const Room = { None: 0, Guarantee: 1, Block: 2, Hole: 3 } as const;

/**
 * A hole beside other work comes first: it breaks no whole worker, in whatever zone it is. A block that is free after the
 * zone's own jobs had their turn is free for others, too. A guarantee comes last, since it may have to be reclaimed.
 */
function getRoom(load: peer.ZoneLoad, account: string, accelerators: number): number {
    if (load.largestHole >= accelerators) {
        return Room.Hole;
    }
    if (load.largestFreeBlock >= accelerators) {
        return Room.Block;
    }
    return (load.freeGuaranteed[account] ?? 0) >= accelerators ? Room.Guarantee : Room.None;
}

/** Where the job would start at once and best, else where the least work waits. */
function pickBest(loads: readonly peer.ZoneLoad[], account: string, accelerators: number, ownZone: string): string {
    const ranked = loads
        .map(load => ({ load, room: getRoom(load, account, accelerators) }))
        .sort((a, b) =>
            b.room - a.room
            || (a.room === Room.Hole ? a.load.largestHole - b.load.largestHole : 0)
            || a.load.waitingWorkMs - b.load.waitingWorkMs
            || b.load.freeAccelerators - a.load.freeAccelerators
            || Number(b.load.zone === ownZone) - Number(a.load.zone === ownZone)
        );
    return ranked[0]!.load.zone;
}
