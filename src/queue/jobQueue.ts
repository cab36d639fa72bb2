/**
 * Waiting jobs in buckets of similar jobs. Within a bucket the oldest job is always the best choice, so a scheduling
 * pass examines the heads of the buckets and not every job. Adding, removing and cancelling a job take constant time.
 */
import type * as queuedJob from "./queuedJob";

/** Jobs with the same key, in insertion order. */
export interface Bucket {
    readonly key: string;
    readonly account: string;
    readonly jobs: Map<string, queuedJob.QueuedJob>;
}

/** The waiting jobs of one zone. */
export interface JobQueue {
    /** Adds a job; does nothing when it is queued already. */
    add(job: queuedJob.QueuedJob): void;
    /** Removes a job; returns `undefined` when it is not queued. */
    remove(jobId: string): queuedJob.QueuedJob | undefined;
    get(jobId: string): queuedJob.QueuedJob | undefined;
    getBuckets(): Iterable<Bucket>;
    /** Buckets of one account. */
    getAccountBuckets(account: string): Iterable<Bucket>;
    /** Number of waiting jobs of an account and class. */
    getCount(account: string, jobClass: string): number;
    size(): number;
    /** All jobs, in no particular order. */
    getJobs(): Iterable<queuedJob.QueuedJob>;
}

/**
 * The key of a job's bucket: jobs of equal shape whose predicted run times are within about a factor of two share it.
 */
export function getBucketKey(job: queuedJob.QueuedJob, predictedMs: number): string {
    const magnitude = Math.round(Math.log2(Math.max(1000, predictedMs)));
    // A job that failed excludes workers. In a bucket of its own it does not block others when it does not fit.
    const ownBucketId = job.failedWorkers.size > 0 ? job.jobId : "";
    return [
        job.account,
        job.jobClass,
        job.accelerators,
        job.adjacency,
        job.cpusPerAccelerator,
        job.memoryMbPerAccelerator,
        job.repeatable,
        magnitude,
        ownBucketId,
    ].join("|");
}

/** Creates an empty queue; `predict` returns a job's expected run time in milliseconds. */
export function createJobQueue(predict: (job: queuedJob.QueuedJob) => number): JobQueue {
    const buckets = new Map<string, Bucket>();
    const bucketsByAccount = new Map<string, Map<string, Bucket>>();
    const bucketByJob = new Map<string, Bucket>();
    const counts = new Map<string, number>();
    const getCountKey = (account: string, jobClass: string) => `${account}\n${jobClass}`;
    const updateCount = (job: queuedJob.QueuedJob, by: number) => {
        const key = getCountKey(job.account, job.jobClass);
        counts.set(key, (counts.get(key) ?? 0) + by);
    };

    const createBucket = (key: string, account: string): Bucket => {
        const bucket: Bucket = { key, account, jobs: new Map() };
        buckets.set(key, bucket);
        const accountBuckets = bucketsByAccount.get(account) ?? new Map<string, Bucket>();
        accountBuckets.set(key, bucket);
        bucketsByAccount.set(account, accountBuckets);
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
            updateCount(job, 1);
        },
        remove: jobId => {
            const bucket = bucketByJob.get(jobId);
            const job = bucket?.jobs.get(jobId);
            if (!bucket || !job) {
                return undefined;
            }
            bucket.jobs.delete(jobId);
            bucketByJob.delete(jobId);
            updateCount(job, -1);
            if (bucket.jobs.size === 0) {
                buckets.delete(bucket.key);
                bucketsByAccount.get(bucket.account)?.delete(bucket.key);
            }
            return job;
        },
        get: jobId => bucketByJob.get(jobId)?.jobs.get(jobId),
        getBuckets: () => buckets.values(),
        getAccountBuckets: account => bucketsByAccount.get(account)?.values() ?? [],
        getCount: (account, jobClass) => counts.get(getCountKey(account, jobClass)) ?? 0,
        size: () => bucketByJob.size,
        getJobs: function*() {
            for (const bucket of buckets.values()) {
                yield* bucket.jobs.values();
            }
        },
    };
}

/** The job that was added to the bucket first. */
export function getHead(bucket: Bucket): queuedJob.QueuedJob | undefined {
    for (const job of bucket.jobs.values()) {
        return job;
    }
    return undefined;
}
