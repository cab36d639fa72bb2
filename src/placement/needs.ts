/** Arithmetic on what tasks take and workers have. */
import type * as workers from "../workers/index";

export type Needs = workers.TaskNeeds;

export const NO_NEEDS: Needs = { accelerators: 0, slots: 0, cpus: 0, memoryMb: 0 };

export function addNeeds(a: Needs, b: Needs): Needs {
    return {
        accelerators: a.accelerators + b.accelerators,
        slots: a.slots + b.slots,
        cpus: a.cpus + b.cpus,
        memoryMb: a.memoryMb + b.memoryMb,
    };
}

export function subtractNeeds(a: Needs, b: Needs): Needs {
    return {
        accelerators: a.accelerators - b.accelerators,
        slots: a.slots - b.slots,
        cpus: a.cpus - b.cpus,
        memoryMb: a.memoryMb - b.memoryMb,
    };
}

export function scaleNeeds(needs: Needs, factor: number): Needs {
    return {
        accelerators: needs.accelerators * factor,
        slots: needs.slots * factor,
        cpus: needs.cpus * factor,
        memoryMb: needs.memoryMb * factor,
    };
}

/** Whether `needs` lies within `room` in every dimension. */
export function fitsWithin(needs: Needs, room: Needs): boolean {
    return needs.accelerators <= room.accelerators
        && needs.slots <= room.slots
        && needs.cpus <= room.cpus
        && needs.memoryMb <= room.memoryMb;
}
