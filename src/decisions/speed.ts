/**
 * How fast a task goes, told by its own progress, and whether it is better off elsewhere.
 *
 * What goes wrong without it: a worker turns several times slower and stays healthy; new work goes on being placed
 * there and urgent work stays. One notices jobs that wait for one slow task. Each task is compared with its own best
 * rate, since callers' estimates are off by more than the slowness that is looked for, and so are the other tasks of its
 * step: of twenty the fastest differ from the slowest by a factor of three.
 */

export interface SpeedHistory {
    sampledPercent: number;
    /** `undefined` until the first sample. */
    sampledAt: number | undefined;
    /** Percent a millisecond over the latest interval; `undefined`: not known. */
    recentRate: number | undefined;
    bestRate: number;
}

/** An interval must bring this much at the best rate: progress comes in whole percent. */
const LEAST_SAMPLE_PERCENT = 4;
/** Shorter intervals are blurred by the way of a look. */
const LEAST_SAMPLE_MS = 400;
/** Slower by less than this is what tasks do to each other on a shared worker. */
const SLOW_FACTOR = 2.5;
/** How long a slow spell still lasts when it is noticed. */
const SPELL_MS = 4_000;
/** Placing a task anew and, where it goes on from what it saved, restoring that. */
const RESTART_MS = 600;
/** A move that gains less than this is not worth the work that it throws away. */
const LEAST_GAIN_MS = 800;

export function createSpeedHistory(): SpeedHistory {
    return { sampledPercent: 0, sampledAt: undefined, recentRate: undefined, bestRate: 0 };
}

/** Takes note of what the worker tells. The first percent that is told may come from an earlier run. */
export function recordProgress(track: SpeedHistory, percent: number, now: number): void {
    if (percent <= 0 || percent >= 100) {
        return;
    }
    if (track.sampledAt === undefined) {
        track.sampledPercent = percent;
        track.sampledAt = now;
        return;
    }
    const elapsedMs = now - track.sampledAt;
    const risen = percent - track.sampledPercent;
    const isLongEnough = elapsedMs >= LEAST_SAMPLE_MS
        && (risen >= LEAST_SAMPLE_PERCENT || track.bestRate * elapsedMs >= LEAST_SAMPLE_PERCENT);
    if (!isLongEnough) {
        return;
    }
    track.recentRate = risen / elapsedMs;
    track.bestRate = Math.max(track.bestRate, track.recentRate);
    track.sampledPercent = percent;
    track.sampledAt = now;
}

/** How many times slower than at its best the task goes; `undefined` until two rates can be compared. */
export function getSlowdown({ bestRate, recentRate }: SpeedHistory): number | undefined {
    return bestRate > 0 && recentRate !== undefined
        ? bestRate / Math.max(recentRate, bestRate / MOST_SLOWDOWN)
        : undefined;
}

/** Stands for any larger figure: a task that stands still is another matter. */
const MOST_SLOWDOWN = 100;

export function isWorkerSlow(slowdowns: readonly number[]): boolean {
    if (slowdowns.length === 0) {
        return false;
    }
    const sorted = [...slowdowns].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)]! >= SLOW_FACTOR;
}

export interface MoveInput {
    readonly percent: number;
    /** Percent a millisecond: what the task could do elsewhere, 0: not known, and what it does here. */
    readonly bestRate: number;
    readonly recentRate: number | undefined;
    /** Whether it goes on elsewhere from where it was stopped. */
    readonly checkpoints: boolean;
}

/** Time until the task ends, in milliseconds. */
export interface MoveTimes {
    /** Where it is. */
    readonly stayMs: number;
    /** When it is stopped now and started elsewhere. */
    readonly moveMs: number;
}

/** `undefined` for a task whose rates are not known, and where a move gains next to nothing. */
export function getMoveTimes(input: MoveInput): MoveTimes | undefined {
    if (input.bestRate === 0 || input.recentRate === undefined) {
        return undefined;
    }
    const left = 100 - input.percent;
    const inSpell = input.recentRate * SPELL_MS;
    const stayMs = inSpell >= left ? left / input.recentRate : SPELL_MS + (left - inSpell) / input.bestRate;
    const moveMs = RESTART_MS + (input.checkpoints ? left : 100) / input.bestRate;
    return stayMs - moveMs >= LEAST_GAIN_MS ? { stayMs, moveMs } : undefined;
}
