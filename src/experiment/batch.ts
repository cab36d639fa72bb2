/** Many deployments played under several variants, by some threads at a time. */
import * as threads from "node:worker_threads";
import * as decisions from "../decisions/index";
import * as measures from "./measures";
import * as drawnLoad from "./randomLoad";
import * as play from "./simulation";

/** A policy, and what is left out of it. */
export interface Variant {
    readonly policy: decisions.PolicyName;
    readonly leftOut: readonly decisions.Mechanism[];
}

export interface BatchTask {
    readonly seed: number;
    readonly size: drawnLoad.Size;
    readonly variant: Variant;
    /** With workers that crash and come back, capacities that shrink, and jobs that take their workers down. */
    readonly hazards?: boolean;
}

export interface BatchResult {
    readonly measures: measures.Measures;
    /** Broken promises, in words. */
    readonly breaches: readonly string[];
}

export async function simulateTask({ seed, size, variant, hazards }: BatchTask): Promise<BatchResult> {
    const policy = decisions.disableMechanisms(decisions.POLICIES[variant.policy], variant.leftOut);
    const drawn = drawnLoad.createRandomLoad(seed, size);
    const load = hazards ? drawnLoad.addHazards(drawn, seed) : drawn;
    const played = await play.simulate({ load, seed, policy });
    return { measures: measures.measure(played), breaches: played.breaches };
}

/** The results in the order of the tasks. `threadCount` 0 plays them here, one after the other. */
export async function simulateBatch(tasks: readonly BatchTask[], threadCount: number): Promise<readonly BatchResult[]> {
    if (threadCount === 0) {
        const results: BatchResult[] = [];
        for (const task of tasks) {
            results.push(await simulateTask(task));
        }
        return results;
    }
    const results = new Array<BatchResult>(tasks.length);
    let next = 0;
    const runThread = () =>
        new Promise<void>((resolve, reject) => {
            const thread = new threads.Worker(require.resolve("./batchThread"));
            let current = -1;
            const sendNext = () => {
                current = next++;
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
