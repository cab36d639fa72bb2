/**
 * Measures at which rate the work of each queue is served while some of it waits, and derives the expected waits.
 *
 * Only a queue's rate under a backlog says how long its work will wait: a queue that had nothing to do was served at
 * rate 0, and would seem to have an endless wait when its next job arrives.
 *
 * A new job is served among the work that can still be in time, before all late work. Once it is late itself it gets
 * only what the work that arrives meanwhile leaves over.
 */
import type * as loadSummary from "./loadSummary";

/** Waiting work that is served before some new jobs of its queue. */
export interface WorkAhead {
    /** New jobs with at least this slack are served after it; 0 if all are. */
    readonly slackMs: number;
    readonly coreSeconds: number;
}

/** One queue at one time. */
export interface QueueObservation {
    readonly queue: string;
    /** Number of jobs of which no task has started. */
    readonly waitingJobs: number;
    readonly ahead: readonly WorkAhead[];
    /** Work of the jobs that arrived since the last observation. */
    readonly arrivedCoreSeconds: number;
    /** Core equivalents that the queue's tasks hold. */
    readonly heldCores: number;
    /**
     * Free core equivalents of the queue's service. They count as available to the queue: a gang that fits nowhere does
     * not delay smaller jobs.
     */
    readonly freeCores: number;
}

/** The measured rates of one leader. */
export interface LoadMeter {
    /** Records the queues that have work ahead of new jobs. Returns the load of those with a known rate. */
    observe(now: number, observations: readonly QueueObservation[]): ReadonlyMap<string, loadSummary.QueueLoad>;
}

/** Time constant of the average: long enough for a burst of a few seconds to be only part of it. */
const AVERAGING_MS = 20_000;
/** Bursts of callers last up to 7 s and end by themselves; a backlog that lasts longer is an overload. */
const MIN_BACKLOG_MS = 10_000;
/** After a longer gap, such as a pause of the leader, the rates are measured anew. */
const MAX_GAP_MS = 2_000;
/** Wait that stands for an endless one: the work that arrives takes all that is served. */
const ENDLESS_MS = 3_600_000;
/** Points of a queue's waits, at equal shares of its work. Bounds the size of the summary. */
const MAX_POINTS = 4;

interface QueueState {
    readonly backlogSince: number;
    /** Duration of the backlog, and work served and arrived during it, with the same decay. */
    backlogMs: number;
    servedCoreMs: number;
    arrivedCoreMs: number;
}

/** Creates a meter without observations. */
export function createLoadMeter(): LoadMeter {
    let states = new Map<string, QueueState>();
    let lastAt = -Infinity;
    return {
        observe: (now, observations) => {
            const elapsedMs = now - lastAt;
            lastAt = now;
            const decay = Math.exp(-elapsedMs / AVERAGING_MS);
            const next = new Map<string, QueueState>();
            const loads = new Map<string, loadSummary.QueueLoad>();
            for (const observation of observations) {
                if (observation.ahead.length === 0) {
                    continue;
                }
                const servedCores = observation.heldCores + observation.freeCores;
                const before = elapsedMs <= MAX_GAP_MS ? states.get(observation.queue) : undefined;
                const state = before ?? { backlogSince: now, backlogMs: 0, servedCoreMs: 0, arrivedCoreMs: 0 };
                if (before) {
                    state.backlogMs = state.backlogMs * decay + elapsedMs;
                    state.servedCoreMs = state.servedCoreMs * decay + elapsedMs * servedCores;
                    state.arrivedCoreMs = state.arrivedCoreMs * decay + 1_000 * observation.arrivedCoreSeconds;
                }
                next.set(observation.queue, state);
                if (now - state.backlogSince >= MIN_BACKLOG_MS) {
                    // A queue that takes over the workers of others is served faster than on average.
                    const rate = Math.max(state.servedCoreMs / state.backlogMs, servedCores);
                    if (rate > 0) {
                        const waits = createPoints(observation.ahead, rate);
                        const freeShare = 1 - state.arrivedCoreMs / state.backlogMs / rate;
                        loads.set(observation.queue, {
                            waitingJobs: observation.waitingJobs,
                            lateWaitMs: freeShare > 0
                                ? Math.min(ENDLESS_MS, waits.at(-1)!.waitMs / freeShare)
                                : ENDLESS_MS,
                            waits,
                        });
                    }
                }
            }
            states = next;
            return loads;
        },
    };
}

/** Points at equal shares of the work. */
function createPoints(ahead: readonly WorkAhead[], rate: number): loadSummary.WaitPoint[] {
    const sorted = [...ahead].sort((a, b) => a.slackMs - b.slackMs);
    const total = sorted.reduce((sum, work) => sum + work.coreSeconds, 0);
    const points: loadSummary.WaitPoint[] = [];
    let coreSeconds = 0;
    sorted.forEach((work, index) => {
        coreSeconds += work.coreSeconds;
        const isLast = index === sorted.length - 1;
        if (isLast || (coreSeconds >= (points.length + 1) * total / MAX_POINTS && points.length < MAX_POINTS - 1)) {
            points.push({ slackMs: work.slackMs, waitMs: 1_000 * coreSeconds / rate });
        }
    });
    return points;
}
