/**
 * Run time predictions learned from finished jobs, for each client account and class.
 *
 * Declared times are often far off in both directions, but by a similar factor within one account and class. So the
 * logarithm of actual over declared time is averaged, with more weight on recent jobs. A job without a declared time is
 * predicted to run as long as earlier jobs of its account and class.
 */

/** Predicts run times from the jobs that have finished so far. */
export interface Predictor {
    /** Expected run time in milliseconds. `declaredMs` is `undefined` when the caller declared none. */
    predict(account: string, jobClass: string, declaredMs: number | undefined): number;
    /** Adds the run time of a finished job, in milliseconds. */
    learn(account: string, jobClass: string, declaredMs: number | undefined, ranMs: number): void;
}

interface RunTimeStats {
    /** Average natural logarithm of actual over declared run time. */
    logRatio: number;
    /** Average natural logarithm of the run time in milliseconds. */
    logRunMs: number;
    samples: number;
}

/** Prediction without a declared time and without earlier jobs. */
const DEFAULT_RUN_MS = 10 * 60_000;
/** Weight of the newest job in the moving average; the first jobs weigh 1/n. */
const LEARNING_RATE = 0.1;

/** Creates a predictor that has not learned from any job. */
export function createPredictor(): Predictor {
    const byKey = new Map<string, RunTimeStats>();
    const getKey = (account: string, jobClass: string) => `${account}\n${jobClass}`;
    return {
        predict: (account, jobClass, declaredMs) => {
            const stats = byKey.get(getKey(account, jobClass));
            if (declaredMs === undefined) {
                return stats ? Math.exp(stats.logRunMs) : DEFAULT_RUN_MS;
            }
            return declaredMs * Math.exp(stats?.logRatio ?? 0);
        },
        learn: (account, jobClass, declaredMs, ranMs) => {
            const key = getKey(account, jobClass);
            const stats = byKey.get(key) ?? { logRatio: 0, logRunMs: 0, samples: 0 };
            const rate = Math.max(LEARNING_RATE, 1 / (stats.samples + 1));
            const logRun = Math.log(Math.max(1, ranMs));
            stats.logRunMs += rate * (logRun - stats.logRunMs);
            if (declaredMs !== undefined) {
                stats.logRatio += rate * (logRun - Math.log(Math.max(1, declaredMs)) - stats.logRatio);
            }
            stats.samples++;
            byKey.set(key, stats);
        },
    };
}
