/** What a job asks of the fleet, and the place it gets. */
import type * as configuration from "../configuration/index";
import type * as fleet from "./fleet";
import * as needs from "./needs";

export interface PlaceRequest {
    readonly jobId: string;
    readonly account: string;
    readonly accelerators: number;
    readonly adjacency: configuration.Adjacency;
    /** Processors and memory for each accelerator, or for the whole task when it takes none. */
    readonly cpusPerAccelerator: number;
    readonly memoryMbPerAccelerator: number;
    readonly evictable: boolean;
    /** Monotonic time by which the job is expected to end if it starts now. */
    readonly predictedEndAt: number;
    /** Workers this job failed on, which it does not return to. */
    readonly excludedWorkers: ReadonlySet<string>;
}

/** One task of a job, on one worker. */
export interface Member {
    readonly workerId: string;
    readonly rackId: string;
    readonly needs: needs.Needs;
}

export function getMemberNeeds(req: PlaceRequest, accelerators: number): needs.Needs {
    const units = Math.max(1, accelerators);
    return {
        accelerators,
        slots: 1,
        cpus: req.cpusPerAccelerator * units,
        memoryMb: req.memoryMbPerAccelerator * units,
    };
}

export function createMember(req: PlaceRequest, worker: fleet.WorkerBook, accelerators: number): Member {
    return { workerId: worker.id, rackId: worker.rack.id, needs: getMemberNeeds(req, accelerators) };
}
