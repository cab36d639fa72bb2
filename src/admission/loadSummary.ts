/** Summary of the leader's load, as published with its lease: the expected waits of new jobs, by queue. */

/** Expected wait of a new job, by the slack that it has when it is submitted. */
export interface WaitPoint {
    /** Longest wait after which the new job would still be in time, in milliseconds. */
    readonly slackMs: number;
    /** Expected wait of a job with that slack: of the work that is served first, at the measured rate. */
    readonly waitMs: number;
}

/** Load of one queue. */
export interface QueueLoad {
    /** Number of jobs of which no task has started. */
    readonly waitingJobs: number;
    /** Expected wait of a new job that cannot start within its slack, behind the jobs that still arrive. */
    readonly lateWaitMs: number;
    /** By increasing slack; not empty. */
    readonly waits: readonly WaitPoint[];
}

/** The load of all queues that have a wait. */
export interface LoadSummary {
    /** Wall-clock time of the computation at the leader, in milliseconds. */
    readonly computedAt: number;
    readonly queues: ReadonlyMap<string, QueueLoad>;
    /** Accounts whose waiting jobs alone exceed their guarantee, those that exceed it most first. */
    readonly accountsBeyondGuarantee: ReadonlySet<string>;
}

/** Stored form. A queue's numbers are its waiting jobs, the late wait, and then slack and wait of each point. */
export interface EncodedSummary {
    readonly at: number;
    readonly queues: Readonly<Record<string, readonly number[]>>;
    readonly beyond?: readonly string[];
}

/** Size of the encoded summary: with some 60 bytes a queue and 12 an account it fits 30 queues and 170 accounts. */
export const MAX_SUMMARY_BYTES = 4_096;
/** Accounts get at most half of the size; an account that is left out counts as within its guarantee. */
const MAX_ACCOUNTS_BYTES = 2_048;
/** Field names, brackets and the time. */
const ENVELOPE_BYTES = 64;

/** Encodes the summary. Omits the queues with the shortest waits if not all fit: their jobs are then accepted. */
export function encodeSummary(summary: LoadSummary, maxBytes = MAX_SUMMARY_BYTES): EncodedSummary {
    let remaining = maxBytes - ENVELOPE_BYTES;
    const take = (text: string, limit: number) => {
        const bytes = Buffer.byteLength(text) + 1;
        const fits = bytes <= limit;
        remaining -= fits ? bytes : 0;
        return fits;
    };
    const accountsEnd = remaining - Math.min(MAX_ACCOUNTS_BYTES, remaining / 2);
    const beyond = [...summary.accountsBeyondGuarantee].filter(name =>
        take(JSON.stringify(name), remaining - accountsEnd)
    );
    const queues = [...summary.queues]
        .sort(([, a], [, b]) => getLongestWaitMs(b) - getLongestWaitMs(a))
        .map(([name, load]): [string, number[]] => [
            name,
            [
                load.waitingJobs,
                Math.floor(load.lateWaitMs),
                ...load.waits.flatMap(point => [Math.floor(point.slackMs), Math.floor(point.waitMs)]),
            ],
        ])
        .filter(([name, numbers]) => take(`${JSON.stringify(name)}:${JSON.stringify(numbers)}`, remaining));
    return {
        at: Math.floor(summary.computedAt),
        queues: Object.fromEntries(queues),
        beyond: beyond.length > 0 ? beyond : undefined,
    };
}

/** Decodes a summary; `undefined` if any part of it is malformed. Never throws. */
export function decodeSummary(value: unknown): LoadSummary | undefined {
    if (!isObject(value) || !isAmount(value["at"]) || !isObject(value["queues"])) {
        return undefined;
    }
    const beyond = value["beyond"] ?? [];
    if (!Array.isArray(beyond) || !beyond.every(name => typeof name === "string")) {
        return undefined;
    }
    const queues = new Map<string, QueueLoad>();
    for (const [name, numbers] of Object.entries(value["queues"])) {
        const load = decodeQueue(numbers);
        if (!load) {
            return undefined;
        }
        queues.set(name, load);
    }
    return { computedAt: value["at"], queues, accountsBeyondGuarantee: new Set(beyond) };
}

function decodeQueue(numbers: unknown): QueueLoad | undefined {
    if (!Array.isArray(numbers) || !numbers.every(isAmount) || numbers.length < 4 || numbers.length % 2 !== 0) {
        return undefined;
    }
    const waits: WaitPoint[] = [];
    for (let index = 2; index < numbers.length; index += 2) {
        const point = { slackMs: numbers[index]!, waitMs: numbers[index + 1]! };
        if (point.slackMs < (waits.at(-1)?.slackMs ?? 0)) {
            return undefined;
        }
        waits.push(point);
    }
    return { waitingJobs: numbers[0]!, lateWaitMs: numbers[1]!, waits };
}

/** Expected wait of a job with the most slack, in milliseconds. */
export function getLongestWaitMs(load: QueueLoad): number {
    return load.waits.at(-1)?.waitMs ?? 0;
}

/** Time until the work that is served before a job with that slack has started; 0 if that is less than a point's. */
export function getWaitMs(load: QueueLoad, slackMs: number): number {
    return load.waits.findLast(point => point.slackMs <= slackMs)?.waitMs ?? 0;
}

function isObject(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && Boolean(value) && !Array.isArray(value);
}

function isAmount(value: unknown): value is number {
    return typeof value === "number" && Number.isFinite(value) && value >= 0;
}
