/** Gauges of the leader's jobs, tasks and workers, computed when the metrics are read. */
import type * as observe from "../observe/index";
import type * as entries from "./entries";

export interface GaugesInput {
    readonly active: Iterable<entries.JobEntry>;
    readonly workers: Iterable<entries.WorkerEntry>;
    isPlaceable(worker: entries.WorkerEntry): boolean;
    isEvacuated(zone: string): boolean;
}

/** Counts jobs, tasks, workers and accelerators by their labels. */
export function readGauges(input: GaugesInput): observe.GaugeSample[] {
    const jobs = createTally("jobs");
    const tasks = createTally("tasks");
    const workers = createTally("workers");
    const accelerators = createTally("accelerators");
    for (const job of input.active) {
        const queue = job.queue.name;
        jobs.add({ account: job.submission.account, queue, state: job.state });
        for (const occurrence of job.occurrences.values()) {
            for (const step of occurrence.steps) {
                step.tasks.forEach(task => tasks.add({ queue, phase: task.phase }));
            }
        }
    }
    for (const worker of input.workers) {
        const { service, capacity } = worker.info;
        const placeable = input.isPlaceable(worker);
        workers.add({ service, state: getState(worker, placeable, input) });
        if (placeable) {
            accelerators.add({ service, state: "used" }, worker.used.accelerators);
            accelerators.add({ service, state: "free" }, capacity.accelerators - worker.used.accelerators);
        }
    }
    return [jobs, tasks, workers, accelerators].flatMap(tally => tally.list());
}

function getState(worker: entries.WorkerEntry, placeable: boolean, { isEvacuated }: GaugesInput): string {
    if (placeable) {
        return "placeable";
    }
    if (isEvacuated(worker.info.zone)) {
        return "evacuated";
    }
    if (!worker.reachable) {
        return "silent";
    }
    return worker.info.draining ? "draining" : "setAside";
}

function createTally(metric: observe.GaugeName) {
    const samples = new Map<string, { labels: observe.Labels; value: number; }>();
    return {
        add: (labels: observe.Labels, by = 1) => {
            const key = Object.values(labels).join("\n");
            const sample = samples.get(key) ?? { labels, value: 0 };
            sample.value += by;
            samples.set(key, sample);
        },
        list: (): observe.GaugeSample[] => [...samples.values()].map(sample => ({ metric, ...sample })),
    };
}
