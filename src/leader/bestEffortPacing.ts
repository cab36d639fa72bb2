/** Keeps tasks that fill from slowing down the serving tasks beside them. */
import * as decisions from "../decisions/index";
import type * as entries from "./entries";

/** A change of pace smaller than this, in percent, is not worth an order. */
const LEAST_CHANGE = 5;

/** After a look: decides the pace of the worker's fillers from the serving tasks' latest figures. */
export function paceFillers(
    worker: entries.WorkerEntry,
    setPace: (task: entries.TaskEntry, percent: number) => void,
): void {
    const running = [...worker.tasks].filter(task => task.phase === "running");
    const fillers = running.filter(task => task.step.spec.fills);
    if (fillers.length === 0) {
        return;
    }
    const tailShares = running
        .filter(task => task.step.spec.targetMs > 0)
        .map(task => task.recentFigure / task.step.spec.targetMs);
    for (const task of fillers) {
        const percent = decisions.decidePace({ currentPercent: task.pacePercent ?? 0, tailLatencyRatios: tailShares });
        // After a takeover the pace is not known: whatever is decided is told.
        const change = task.pacePercent === undefined ? Infinity : Math.abs(percent - task.pacePercent);
        if (change >= LEAST_CHANGE || (percent === 0 && change > 0)) {
            setPace(task, percent);
        }
    }
}
