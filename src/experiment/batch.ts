/** Simulates many random deployments under several policy variants, in parallel on worker threads. */
import * as threads from "node:worker_threads";
import * as decisions from "../decisions/index";
import * as measures from "./measures";
import * as randomLoad from "./randomLoad";
import * as simulation from "./simulation";

/** A policy with some of its mechanisms disabled. */
export interface Variant {
    readonly policy: decisions.PolicyName;
    readonly leftOut: readonly decisions.Mechanism[];
}

/** One simulation: a random deployment under one variant. */
export interface BatchTask {
    readonly seed: number;
    readonly size: randomLoad.Size;
    readonly variant: Variant;
    /** Adds workers that crash and restart, capacities that shrink, and jobs that crash their workers. */
    readonly hazards?: boolean;
    /** Adds work, uneven accounts and workers, departures at short notice, and bursts. */
    readonly contention?: boolean;
}

/** What one simulation of a batch returns. */
export interface BatchResult {
    readonly measures: measures.Measures;
    /** Descriptions of the scheduler's guarantees that were violated; empty if none. */
    readonly violations: readonly string[];
}

/** Simulates one deployment in the calling thread. */
export async function simulateTask({ seed, size, variant, hazards, contention }: BatchTask): Promise<BatchResult> {
    const policy = decisions.disableMechanisms(decisions.POLICIES[variant.policy], variant.leftOut);
    const drawn = randomLoad.createRandomLoad(seed, size);
    const base = contention ? randomLoad.addContention(drawn, seed) : drawn;
    const load = hazards ? randomLoad.addHazards(base, seed) : base;
    const simulated = await simulation.simulate({ load, seed, policy });
    return { measures: measures.measure(simulated), violations: simulated.violations };
}

/**
 * Returns the results in the order of the tasks. With `threadCount` 0 the tasks run one after the other in the calling
 * thread. Rejects if a worker thread fails.
 */
export async function simulateBatch(tasks: readonly BatchTask[], threadCount: number): Promise<readonly BatchResult[]> {
    if (threadCount === 0) {
        const results: BatchResult[] = [];
        for (const task of tasks) {
            results.push(await simulateTask(task));
        }
        return results;
    }
    const results = new Array<BatchResult>(tasks.length);
    let nextIndex = 0;
    const runThread = () =>
        new Promise<void>((resolve, reject) => {
            const thread = new threads.Worker(require.resolve("./batchThread"));
            let current = -1;
            const sendNext = () => {
                current = nextIndex++;
                if (current >= tasks.length) {
                    void thread.terminate().then(() => resolve());
                    return;
                }
                thread.postMessage(tasks[current]);
            };
            thread.on("message", (result: BatchResult) => {
                results[current] = result;
                sendNext();
            });
            thread.on("error", reject);
            sendNext();
        });
    await Promise.all(Array.from({ length: Math.min(threadCount, tasks.length) }, runThread));
    return results;
}
