/** The buckets of waiting jobs in the order of a pass, and what of them needs not be tried again. */
import * as heapJs from "heap-js";
import type * as placement from "../placement/index";
import * as decisionState from "./decisionState";
import type * as jobQueue from "./jobQueue";
import type * as queuedJob from "./queuedJob";

export interface Heads {
    /** The bucket with the highest score. */
    pop(): jobQueue.Bucket | undefined;
    /** Puts a bucket back, with the score of its new head. */
    push(bucket: jobQueue.Bucket): void;
}

/** The buckets in the order of their heads' scores. */
export function createHeads(
    state: decisionState.DecisionState,
    getScore: (job: queuedJob.QueuedJob) => number,
    buckets: Iterable<jobQueue.Bucket>,
): Heads {
    const heap = new heapJs.Heap<{ bucket: jobQueue.Bucket; score: number; }>((a, b) => b.score - a.score);
    const createItem = (bucket: jobQueue.Bucket) => {
        const head = decisionState.getFirstUnheld(state, bucket);
        return head && { bucket, score: getScore(head) };
    };
    heap.init([...buckets].flatMap(bucket => createItem(bucket) ?? []));
    return {
        pop: () => heap.pop()?.bucket,
        push: bucket => {
            const item = createItem(bucket);
            if (item) {
                heap.push(item);
            }
        },
    };
}

export interface FailureMemo {
    add(req: placement.PlaceRequest): void;
    /** Whether a smaller or equal request already failed in this pass. */
    isHopeless(req: placement.PlaceRequest): boolean;
}

/** Remembers for one pass what did not fit, so that ten thousand alike jobs cost one search. */
export function createFailureMemo(): FailureMemo {
    const smallestFailed = new Map<string, number>();
    const getKey = (req: placement.PlaceRequest) =>
        [req.account, req.adjacency, req.evictable, req.cpusPerAccelerator, req.memoryMbPerAccelerator].join("|");
    return {
        add: req => {
            if (req.excludedWorkers.size === 0) {
                const key = getKey(req);
                smallestFailed.set(key, Math.min(smallestFailed.get(key) ?? Infinity, req.accelerators));
            }
        },
        isHopeless: req => req.accelerators >= (smallestFailed.get(getKey(req)) ?? Infinity),
    };
}
