/** Arithmetic on the resources that tasks need and workers have. */
import type * as workers from "../workers/index";

/** Amounts of each resource: needed by a task, or of a worker's capacity. */
export type Needs = workers.TaskResources;

/** Zero of every resource. */
export const NO_NEEDS: Needs = { accelerators: 0, slots: 0, cpus: 0, memoryMb: 0 };

/** The sum of two amounts. */
export function addNeeds(a: Needs, b: Needs): Needs {
    return {
        accelerators: a.accelerators + b.accelerators,
        slots: a.slots + b.slots,
        cpus: a.cpus + b.cpus,
        memoryMb: a.memoryMb + b.memoryMb,
    };
}

/** The difference of two amounts; a resource may become negative. */
export function subtractNeeds(a: Needs, b: Needs): Needs {
    return {
        accelerators: a.accelerators - b.accelerators,
        slots: a.slots - b.slots,
        cpus: a.cpus - b.cpus,
        memoryMb: a.memoryMb - b.memoryMb,
    };
}

/** All resources multiplied by a factor. */
export function scaleNeeds(needs: Needs, factor: number): Needs {
    return {
        accelerators: needs.accelerators * factor,
        slots: needs.slots * factor,
        cpus: needs.cpus * factor,
        memoryMb: needs.memoryMb * factor,
    };
}

/** Whether `needs` does not exceed `available` for any resource. */
export function fitsWithin(needs: Needs, available: Needs): boolean {
    return needs.accelerators <= available.accelerators
        && needs.slots <= available.slots
        && needs.cpus <= available.cpus
        && needs.memoryMb <= available.memoryMb;
}
