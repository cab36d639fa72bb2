/** Limits the pace of best-effort tasks so that they do not slow down latency-sensitive tasks on the same worker. */
import * as decisions from "../decisions/index";
import type * as entries from "./entries";

/** Minimum change of the pace, in percentage points, for which an order is sent. */
const MIN_CHANGE = 5;

/**
 * Called after each poll: decides the pace of the worker's best-effort tasks from the latency-sensitive tasks' latest
 * tail latencies.
 */
export function paceBestEffortTasks(
    worker: entries.WorkerEntry,
    setPace: (task: entries.TaskEntry, percent: number) => void,
): void {
    const running = [...worker.tasks].filter(task => task.phase === "running");
    const bestEffortTasks = running.filter(task => task.step.spec.fills);
    if (bestEffortTasks.length === 0) {
        return;
    }
    const tailLatencyRatios = running
        .filter(task => task.step.spec.targetMs > 0)
        .map(task => task.recentFigure / task.step.spec.targetMs);
    for (const task of bestEffortTasks) {
        const percent = decisions.decidePace({
            currentPercent: task.pacePercent ?? 0,
            tailLatencyRatios,
        });
        // The pace is unknown after a takeover, so the decision is always sent.
        const change = task.pacePercent === undefined ? Infinity : Math.abs(percent - task.pacePercent);
        if (change >= MIN_CHANGE || (percent === 0 && change > 0)) {
            setPace(task, percent);
        }
    }
}
