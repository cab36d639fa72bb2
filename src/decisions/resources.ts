/** Arithmetic on capacity. */
import type * as work from "../work/index";

export interface MutableResources {
    cpuMillis: number;
    memoryMb: number;
    accelerators: number;
}

export function copyResources(room: work.Resources): MutableResources {
    return { cpuMillis: room.cpuMillis, memoryMb: room.memoryMb, accelerators: room.accelerators };
}

export function addResources(to: MutableResources, room: work.Resources, times = 1): void {
    to.cpuMillis += room.cpuMillis * times;
    to.memoryMb += room.memoryMb * times;
    to.accelerators += room.accelerators * times;
}

export function subtractResources(from: MutableResources, room: work.Resources, times = 1): void {
    addResources(from, room, -times);
}

/** Lowers each dimension of `room` to at most that of `bound`. */
export function capResources(room: MutableResources, bound: work.Resources): void {
    room.cpuMillis = Math.min(room.cpuMillis, bound.cpuMillis);
    room.memoryMb = Math.min(room.memoryMb, bound.memoryMb);
    room.accelerators = Math.min(room.accelerators, bound.accelerators);
}

/** Whether that much is no more than the capacity, in each kind. */
export function fitsWithin(used: work.Resources, capacity: work.Resources): boolean {
    return used.cpuMillis <= capacity.cpuMillis && used.memoryMb <= capacity.memoryMb
        && used.accelerators <= capacity.accelerators;
}

/** Leaves no room for anything, also not for what needs none of one kind. */
export function blockResources(room: MutableResources): void {
    room.cpuMillis = Math.min(room.cpuMillis, -1);
    room.memoryMb = Math.min(room.memoryMb, -1);
    room.accelerators = Math.min(room.accelerators, -1);
}

/** Equal for equal amounts. */
export function getResourcesKey(room: work.Resources): string {
    let key = keys.get(room);
    if (key === undefined) {
        key = `${room.cpuMillis}/${room.memoryMb}/${room.accelerators}`;
        keys.set(room, key);
    }
    return key;
}

/** The needs of a step are one object, which is asked for again in each pass. */
const keys = new WeakMap<work.Resources, string>();

/** How many tasks with these needs fit. */
export function countFits(room: work.Resources, needs: work.Resources): number {
    return Math.max(
        0,
        Math.min(
            countDimension(room.cpuMillis, needs.cpuMillis),
            countDimension(room.memoryMb, needs.memoryMb),
            countDimension(room.accelerators, needs.accelerators),
        ),
    );
}

/** A worker that is over its capacity in one kind takes nothing, whatever the task needs of it. */
function countDimension(available: number, needed: number): number {
    if (available < 0) {
        return 0;
    }
    return needed > 0 ? Math.floor(available / needed) : Number.MAX_SAFE_INTEGER;
}

/**
 * Core-equivalents of a task, by which lost work is weighed.
 * An accelerator counts as eight cores, as the users price it.
 */
export function getCoreEquivalents(needs: work.Resources): number {
    return needs.cpuMillis / 1_000 + CORES_PER_ACCELERATOR * needs.accelerators;
}

const CORES_PER_ACCELERATOR = 8;
