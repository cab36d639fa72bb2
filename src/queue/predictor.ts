/**
 * Run-time predictions that learn from what really happened, for each client account and class.
 *
 * Declared times are often far off in both directions, but in much the same way for one account and class; so the
 * logarithm of real over declared time is averaged, with more weight on recent jobs. A job without a declared time is
 * predicted to run as long as its account's and class's jobs did.
 */

export interface Predictor {
    /** Expected run time in milliseconds. `declaredMs` is undefined when the caller declared none. */
    predict(account: string, jobClass: string, declaredMs: number | undefined): number;
    learn(account: string, jobClass: string, declaredMs: number | undefined, ranMs: number): void;
}

interface Learned {
    logRatio: number;
    logRunMs: number;
    samples: number;
}

const DEFAULT_RUN_MS = 10 * 60_000;
/** Weight of the newest job once many have been seen. */
const LEARNING_RATE = 0.1;

export function createPredictor(): Predictor {
    const byKey = new Map<string, Learned>();
    const getKey = (account: string, jobClass: string) => `${account}\n${jobClass}`;
    return {
        predict: (account, jobClass, declaredMs) => {
            const learned = byKey.get(getKey(account, jobClass));
            if (declaredMs === undefined) {
                return learned ? Math.exp(learned.logRunMs) : DEFAULT_RUN_MS;
            }
            return declaredMs * Math.exp(learned?.logRatio ?? 0);
        },
        learn: (account, jobClass, declaredMs, ranMs) => {
            const key = getKey(account, jobClass);
            const learned = byKey.get(key) ?? { logRatio: 0, logRunMs: 0, samples: 0 };
            const rate = Math.max(LEARNING_RATE, 1 / (learned.samples + 1));
            const logRun = Math.log(Math.max(1, ranMs));
            learned.logRunMs += rate * (logRun - learned.logRunMs);
            if (declaredMs !== undefined) {
                learned.logRatio += rate * (logRun - Math.log(Math.max(1, declaredMs)) - learned.logRatio);
            }
            learned.samples++;
            byKey.set(key, learned);
        },
    };
}
