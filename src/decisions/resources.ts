/** Arithmetic on resources. */
import type * as work from "../work/index";

/** Like `work.Resources`, but mutable. */
export interface MutableResources {
    cpuMillis: number;
    memoryMb: number;
    accelerators: number;
}

/** A mutable copy. */
export function copyResources(resources: work.Resources): MutableResources {
    return { cpuMillis: resources.cpuMillis, memoryMb: resources.memoryMb, accelerators: resources.accelerators };
}

/** Adds `times` times the second argument to the first, in place. */
export function addResources(to: MutableResources, resources: work.Resources, times = 1): void {
    to.cpuMillis += resources.cpuMillis * times;
    to.memoryMb += resources.memoryMb * times;
    to.accelerators += resources.accelerators * times;
}

/** Subtracts `times` times the second argument from the first, in place. */
export function subtractResources(from: MutableResources, resources: work.Resources, times = 1): void {
    addResources(from, resources, -times);
}

/** Lowers each dimension of `resources` to at most that of `bound`, in place. */
export function capResources(resources: MutableResources, bound: work.Resources): void {
    resources.cpuMillis = Math.min(resources.cpuMillis, bound.cpuMillis);
    resources.memoryMb = Math.min(resources.memoryMb, bound.memoryMb);
    resources.accelerators = Math.min(resources.accelerators, bound.accelerators);
}

/** Whether no dimension exceeds the capacity. */
export function fitsWithin(used: work.Resources, capacity: work.Resources): boolean {
    return used.cpuMillis <= capacity.cpuMillis && used.memoryMb <= capacity.memoryMb
        && used.accelerators <= capacity.accelerators;
}

/** Makes every dimension negative, so that not even a task that needs none of a dimension fits. */
export function blockResources(resources: MutableResources): void {
    resources.cpuMillis = Math.min(resources.cpuMillis, -1);
    resources.memoryMb = Math.min(resources.memoryMb, -1);
    resources.accelerators = Math.min(resources.accelerators, -1);
}

/** A string that is equal for equal resources. */
export function getResourcesKey(resources: work.Resources): string {
    let key = keys.get(resources);
    if (key === undefined) {
        key = `${resources.cpuMillis}/${resources.memoryMb}/${resources.accelerators}`;
        keys.set(resources, key);
    }
    return key;
}

/** Cached keys: the needs of a step are one object, whose key is used in each pass. */
const keys = new WeakMap<work.Resources, string>();

/** Number of tasks with these needs that fit. */
export function countFits(available: work.Resources, needs: work.Resources): number {
    return Math.max(
        0,
        Math.min(
            countDimension(available.cpuMillis, needs.cpuMillis),
            countDimension(available.memoryMb, needs.memoryMb),
            countDimension(available.accelerators, needs.accelerators),
        ),
    );
}

/** A worker that exceeds its capacity in one dimension takes no task, even one that needs none of that dimension. */
function countDimension(available: number, needed: number): number {
    if (available < 0) {
        return 0;
    }
    return needed > 0 ? Math.floor(available / needed) : Number.MAX_SAFE_INTEGER;
}

/** Core-equivalents of a task, the unit in which thrown-away work is measured. */
export function getCoreEquivalents(needs: work.Resources): number {
    return needs.cpuMillis / 1_000 + CORES_PER_ACCELERATOR * needs.accelerators;
}

/** The exchange rate that the users price by. */
const CORES_PER_ACCELERATOR = 8;
