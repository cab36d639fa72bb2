/** A priority queue of the buckets of waiting jobs for one scheduling pass, and a memo of requests that did not fit. */
import * as heapJs from "heap-js";
import type * as placement from "../placement/index";
import * as decisionState from "./decisionState";
import type * as jobQueue from "./jobQueue";
import type * as queuedJob from "./queuedJob";

/** Buckets ordered by the score of their first job without a hold. */
export interface BucketHeap {
    /** Removes and returns the bucket with the highest score. */
    pop(): jobQueue.Bucket | undefined;
    /** Puts a bucket back with the score of its new head; a bucket without a job to place is dropped. */
    push(bucket: jobQueue.Bucket): void;
}

/** Creates the heap; `getScore` is called once for each head that is pushed. */
export function createBucketHeap(
    state: decisionState.DecisionState,
    getScore: (job: queuedJob.QueuedJob) => number,
    buckets: Iterable<jobQueue.Bucket>,
): BucketHeap {
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

/** The requests that did not fit in this pass. */
export interface FailureMemo {
    add(req: placement.PlaceRequest): void;
    /** Whether a smaller or equal request of the same kind already failed in this pass. */
    isKnownToFail(req: placement.PlaceRequest): boolean;
}

/** Creates the memo for one pass. With it, ten thousand similar jobs that do not fit cost one search. */
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
        isKnownToFail: req => req.accelerators >= (smallestFailed.get(getKey(req)) ?? Infinity),
    };
}
