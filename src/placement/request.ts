/** Placement requests of jobs, and the members of a placement. */
import type * as configuration from "../configuration/index";
import type * as fleetModule from "./fleet";
import * as needs from "./needs";

/** What a job needs of the workers. */
export interface PlaceRequest {
    readonly jobId: string;
    readonly account: string;
    readonly accelerators: number;
    readonly adjacency: configuration.Adjacency;
    /** CPUs and memory per accelerator, or for the whole task when it uses none. */
    readonly cpusPerAccelerator: number;
    readonly memoryMbPerAccelerator: number;
    readonly evictable: boolean;
    /** Monotonic time by which the job is expected to end if it starts now. */
    readonly predictedEndAt: number;
    /** Workers on which the job must not be placed, since it failed there. */
    readonly excludedWorkers: ReadonlySet<string>;
}

/** One task of a job, on one worker. */
export interface Member {
    readonly workerId: string;
    readonly rackId: string;
    readonly needs: needs.Needs;
}

/** The resources of a member with this many accelerators. */
export function getMemberNeeds(req: PlaceRequest, accelerators: number): needs.Needs {
    const units = Math.max(1, accelerators);
    return {
        accelerators,
        slots: 1,
        cpus: req.cpusPerAccelerator * units,
        memoryMb: req.memoryMbPerAccelerator * units,
    };
}

/** Creates the member of a placement that runs on the worker. */
export function createMember(req: PlaceRequest, worker: fleetModule.FleetWorker, accelerators: number): Member {
    return { workerId: worker.id, rackId: worker.rack.id, needs: getMemberNeeds(req, accelerators) };
}
