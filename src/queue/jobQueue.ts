/**
 * Waiting jobs, in buckets of alike jobs. Within a bucket the oldest is always the best choice, so a scheduling pass looks
 * at the heads of the buckets and not at every job; adding and removing a job take constant time, cancellations included.
 */
import type * as queuedJob from "./queuedJob";

export interface Bucket {
    readonly key: string;
    readonly account: string;
    readonly jobs: Map<string, queuedJob.QueuedJob>;
}

export interface JobQueue {
    add(job: queuedJob.QueuedJob): void;
    remove(jobId: string): queuedJob.QueuedJob | undefined;
    get(jobId: string): queuedJob.QueuedJob | undefined;
    getBuckets(): Iterable<Bucket>;
    /** Buckets of one account. */
    getAccountBuckets(account: string): Iterable<Bucket>;
    getCount(account: string, jobClass: string): number;
    size(): number;
    /** All jobs, in no particular order. */
    getJobs(): Iterable<queuedJob.QueuedJob>;
}

/** Durations within a factor of two of each other share a bucket. */
export function getBucketKey(job: queuedJob.QueuedJob, predictedMs: number): string {
    const magnitude = Math.round(Math.log2(Math.max(1000, predictedMs)));
    // A job that failed somewhere may not fit where its fellows do, and must not stand in their way.
    const failed = job.failedWorkers.size > 0 ? job.jobId : "";
    return [
        job.account,
        job.jobClass,
        job.accelerators,
        job.adjacency,
        job.cpusPerAccelerator,
        job.memoryMbPerAccelerator,
        job.repeatable,
        magnitude,
        failed,
    ].join("|");
}

export function createJobQueue(predict: (job: queuedJob.QueuedJob) => number): JobQueue {
    const buckets = new Map<string, Bucket>();
    const byAccount = new Map<string, Map<string, Bucket>>();
    const bucketByJob = new Map<string, Bucket>();
    const counts = new Map<string, number>();
    const getCountKey = (account: string, jobClass: string) => `${account}\n${jobClass}`;
    const count = (job: queuedJob.QueuedJob, by: number) => {
        const key = getCountKey(job.account, job.jobClass);
        counts.set(key, (counts.get(key) ?? 0) + by);
    };

    const createBucket = (key: string, account: string): Bucket => {
        const bucket: Bucket = { key, account, jobs: new Map() };
        buckets.set(key, bucket);
        const ofAccount = byAccount.get(account) ?? new Map<string, Bucket>();
        ofAccount.set(key, bucket);
        byAccount.set(account, ofAccount);
        return bucket;
    };

    return {
        add: job => {
            if (bucketByJob.has(job.jobId)) {
                return;
            }
            const key = getBucketKey(job, predict(job));
            const bucket = buckets.get(key) ?? createBucket(key, job.account);
            bucket.jobs.set(job.jobId, job);
            bucketByJob.set(job.jobId, bucket);
            count(job, 1);
        },
        remove: jobId => {
            const bucket = bucketByJob.get(jobId);
            const job = bucket?.jobs.get(jobId);
            if (!bucket || !job) {
                return undefined;
            }
            bucket.jobs.delete(jobId);
            bucketByJob.delete(jobId);
            count(job, -1);
            if (bucket.jobs.size === 0) {
                buckets.delete(bucket.key);
                byAccount.get(bucket.account)?.delete(bucket.key);
            }
            return job;
        },
        get: jobId => bucketByJob.get(jobId)?.jobs.get(jobId),
        getBuckets: () => buckets.values(),
        getAccountBuckets: account => byAccount.get(account)?.values() ?? [],
        getCount: (account, jobClass) => counts.get(getCountKey(account, jobClass)) ?? 0,
        size: () => bucketByJob.size,
        getJobs: function*() {
            for (const bucket of buckets.values()) {
                yield* bucket.jobs.values();
            }
        },
    };
}

/** The oldest job of a bucket. */
export function getHead(bucket: Bucket): queuedJob.QueuedJob | undefined {
    for (const job of bucket.jobs.values()) {
        return job;
    }
    return undefined;
}
