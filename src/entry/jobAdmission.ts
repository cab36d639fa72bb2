/** Admission of jobs and the choice of the zone whose queue takes them. */
import type * as configuration from "../configuration/index";
import type * as jobs from "../jobs/index";
import type * as peer from "../peer/index";
import * as placement from "../placement/index";
import * as queue from "../queue/index";
import * as result from "../result/index";

/** Admission of jobs at this instance. */
export interface JobAdmission {
    /** Chooses the zone of a job or refuses it; the job must start within `deadlineMs` milliseconds, if given. */
    chooseZone(
        account: configuration.Account,
        spec: jobs.JobSpec,
        deadlineMs: number | undefined,
    ): result.Result<string>;
    /** Finds a zone other than `from` with enough free accelerators for the job. */
    findZoneWithRoom(
        job: { readonly account: string; readonly accelerators: number; },
        from: string,
    ): string | undefined;
}

/** Options of `createJobAdmission`. */
export interface JobAdmissionOptions {
    readonly ownZone: string;
    readonly getConfiguration: () => configuration.Configuration | undefined;
    /** Loads last reported by the owners of the zones' queues; zones without a report are missing. */
    readonly getZoneLoads: () => readonly peer.ZoneLoad[];
}

const RETRY_AFTER_MS = 2000;
/** A job is refused when the expected wait, a rough estimate, exceeds its deadline by more than this factor. */
const MAX_WAIT_TO_DEADLINE_RATIO = 2;

/** Creates the admission of this instance. */
export function createJobAdmission(options: JobAdmissionOptions): JobAdmission {
    /** Zones that can hold a job when they are idle, by the job's shape; computed again for each configuration. */
    let fits: { readonly of: configuration.Configuration; readonly zones: Map<string, readonly string[]>; } | undefined;

    const getFittingZones = (current: configuration.Configuration, spec: jobs.JobSpec): readonly string[] => {
        if (fits?.of !== current) {
            fits = { of: current, zones: new Map() };
        }
        const key = [spec.accelerators, spec.adjacency, spec.cpusPerAccelerator, spec.memoryMbPerAccelerator].join("|");
        const cached = fits.zones.get(key);
        if (cached) {
            return cached;
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
            ? result.refuse(
                result.ResultCode.QueueFull,
                `${waiting} jobs of class ${spec.jobClass} wait already`,
                {
                    retryAfterMs: RETRY_AFTER_MS,
                },
            )
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
                return result.refuse(
                    result.ResultCode.StoreUnavailable,
                    "the configuration is not known yet",
                    {
                        retryAfterMs: RETRY_AFTER_MS,
                    },
                );
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
            const minWaitMs = Math.min(...loads.map(load => getExpectedWaitMs(current, load)));
            if (deadlineMs !== undefined && minWaitMs > deadlineMs * MAX_WAIT_TO_DEADLINE_RATIO) {
                return result.refuse(
                    result.ResultCode.DeadlineTooSoon,
                    `the expected wait of ${Math.round(minWaitMs)} ms exceeds the deadline`,
                    { retryAfterMs: Math.round(minWaitMs) },
                );
            }
            return result.ok(pickZone(loads, account.name, spec.accelerators, options.ownZone));
        },
        findZoneWithRoom: (job, from) =>
            options.getZoneLoads().find(load =>
                load.zone !== from && getFit(load, job.account, job.accelerators) > Fit.None
            )?.zone,
    };
}

/** How well a zone's free accelerators fit a job; higher is better. */
const Fit = { None: 0, Guarantee: 1, Block: 2, Hole: 3 } as const;

/**
 * Prefers free accelerators beside other work, in any zone, since they leave entirely free workers intact. Next comes a
 * free block, which the jobs waiting in its zone have not used. A guarantee comes last: it may have to be reclaimed.
 */
function getFit(load: peer.ZoneLoad, account: string, accelerators: number): number {
    if (load.largestHole >= accelerators) {
        return Fit.Hole;
    }
    if (load.largestFreeBlock >= accelerators) {
        return Fit.Block;
    }
    return (load.freeGuaranteed[account] ?? 0) >= accelerators ? Fit.Guarantee : Fit.None;
}

/** Picks the zone with the best fit; among equal ones, that with the least waiting work. */
function pickZone(loads: readonly peer.ZoneLoad[], account: string, accelerators: number, ownZone: string): string {
    const ranked = loads
        .map(load => ({ load, fit: getFit(load, account, accelerators) }))
        .sort((a, b) =>
            b.fit - a.fit
            || (a.fit === Fit.Hole ? a.load.largestHole - b.load.largestHole : 0)
            || a.load.waitingWorkMs - b.load.waitingWorkMs
            || b.load.freeAccelerators - a.load.freeAccelerators
            || Number(b.load.zone === ownZone) - Number(a.load.zone === ownZone)
        );
    return ranked[0]!.load.zone;
}
