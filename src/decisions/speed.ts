/**
 * Detection of slow workers by the progress rates of their tasks, and whether a task should move to another worker.
 *
 * A worker may become several times slower and still pass its health checks; jobs then wait for one slow task. Each task
 * is compared with its own best rate, since callers' estimates are off by more than the slowdown to be detected, and so
 * are the other tasks of its step: among twenty, the fastest is three times as fast as the slowest.
 */

/** Progress rates of one run of a task. */
export interface SpeedHistory {
    /** Progress at the latest sample, in percent. */
    sampledPercent: number;
    /** Time of the latest sample; `undefined` before the first one. */
    sampledAt: number | undefined;
    /** Percent per millisecond over the latest interval; `undefined` if unknown. */
    recentRate: number | undefined;
    /** Highest rate of any interval, in percent per millisecond; 0 if unknown. */
    bestRate: number;
}

/** Progress that an interval must yield at the best rate, since progress is reported in whole percent. */
const MIN_SAMPLE_PERCENT = 4;
/** Shorter intervals are distorted by the latency of a poll. */
const MIN_SAMPLE_MS = 400;
/** Smaller slowdowns are usual interference between tasks on a shared worker. */
const SLOW_FACTOR = 2.5;
/** Expected remaining time of a slow phase when it is detected. */
const SLOW_PHASE_MS = 4_000;
/** Time to place a task again and restore its checkpoint, if it has one. */
const RESTART_MS = 600;
/** A move that saves less time than this is not worth the work that it throws away. */
const MIN_GAIN_MS = 800;

/** A history without samples. */
export function createSpeedHistory(): SpeedHistory {
    return { sampledPercent: 0, sampledAt: undefined, recentRate: undefined, bestRate: 0 };
}

/**
 * Adds progress that the worker reported at `now` (monotonic milliseconds). The first value only starts an interval, as
 * an earlier run may have made that progress.
 */
export function recordProgress(history: SpeedHistory, percent: number, now: number): void {
    if (percent <= 0 || percent >= 100) {
        return;
    }
    if (history.sampledAt === undefined) {
        history.sampledPercent = percent;
        history.sampledAt = now;
        return;
    }
    const elapsedMs = now - history.sampledAt;
    const progressPercent = percent - history.sampledPercent;
    const isLongEnough = elapsedMs >= MIN_SAMPLE_MS
        && (progressPercent >= MIN_SAMPLE_PERCENT || history.bestRate * elapsedMs >= MIN_SAMPLE_PERCENT);
    if (!isLongEnough) {
        return;
    }
    history.recentRate = progressPercent / elapsedMs;
    history.bestRate = Math.max(history.bestRate, history.recentRate);
    history.sampledPercent = percent;
    history.sampledAt = now;
}

/** Best rate divided by the recent one, at most `MAX_SLOWDOWN`; `undefined` before the first complete interval. */
export function getSlowdown({ bestRate, recentRate }: SpeedHistory): number | undefined {
    return bestRate > 0 && recentRate !== undefined
        ? bestRate / Math.max(recentRate, bestRate / MAX_SLOWDOWN)
        : undefined;
}

/** Upper limit; tasks without any progress are handled elsewhere. */
const MAX_SLOWDOWN = 100;

/** Whether a worker is slow, by the median slowdown of its tasks. */
export function isWorkerSlow(slowdowns: readonly number[]): boolean {
    if (slowdowns.length === 0) {
        return false;
    }
    const sorted = [...slowdowns].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)]! >= SLOW_FACTOR;
}

/** State of a task that may be moved to another worker. */
export interface MoveInput {
    /** Progress of the task. */
    readonly percent: number;
    /** Rate to expect on another worker, in percent per millisecond; 0 if unknown. */
    readonly bestRate: number;
    /** Rate on the current worker, in percent per millisecond. */
    readonly recentRate: number | undefined;
    /** Whether the task resumes from a checkpoint on another worker. */
    readonly checkpoints: boolean;
}

/** Time until the task ends. */
export interface MoveTimes {
    /** If it stays on its worker. */
    readonly stayMs: number;
    /** If it is stopped now and started on another worker. */
    readonly moveMs: number;
}

/** `undefined` if the rates are unknown or a move would save too little time. */
export function getMoveTimes(input: MoveInput): MoveTimes | undefined {
    if (input.bestRate === 0 || input.recentRate === undefined) {
        return undefined;
    }
    const remainingPercent = 100 - input.percent;
    const slowPhasePercent = input.recentRate * SLOW_PHASE_MS;
    const stayMs = slowPhasePercent >= remainingPercent
        ? remainingPercent / input.recentRate
        : SLOW_PHASE_MS + (remainingPercent - slowPhasePercent) / input.bestRate;
    const moveMs = RESTART_MS + (input.checkpoints ? remainingPercent : 100) / input.bestRate;
    return stayMs - moveMs >= MIN_GAIN_MS ? { stayMs, moveMs } : undefined;
}
