/** Measures the natural speeds of workers from their polls, and provides them to the decisions. */
import type * as clock from "../clock/index";
import type * as decisions from "../decisions/index";
import type * as observe from "../observe/index";
import * as speeds from "../workerSpeeds/index";
import * as entries from "./entries";
import type * as learned from "./learned/index";
import type * as sessions from "./sessions/index";
import type * as units from "./units";

/** The speeds of the workers of a term. */
export interface WorkerSpeeds {
    /** Takes the rates of the worker's runs, once its poll has been applied to the job registry. */
    recordPoll(worker: entries.WorkerEntry): void;
    /** Takes the rate of a run that has ended, before its end is applied to the job registry. */
    recordEnd(end: sessions.TaskEnd): void;
    /** Computes the speeds anew if that is due. */
    update(): void;
    /** Known speed relative to the typical worker of the service; `undefined` if it is unknown or workers are even. */
    getSpeed(worker: entries.WorkerEntry): number | undefined;
    /** Speed of the worker that a task runs on; of a gang, that of its slowest worker. */
    getRunSpeed(task: entries.TaskEntry): number;
    /** Counts the choices of a pass, and logs each when its unit's outcome changes. */
    recordChoices(choices: readonly decisions.SpeedChoice[], waiting: readonly units.UnitOfTasks[]): void;
    /** Whether the unit has waited for a faster worker since its previous start. */
    hasWaited(unitKey: string): boolean;
    readGauges(): observe.GaugeSample[];
    readonly section: learned.LearnedSection;
}

export interface WorkerSpeedsOptions {
    readonly clock: clock.Clock;
    readonly disabledMechanisms: ReadonlySet<decisions.Mechanism>;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    getTask(name: string): entries.TaskEntry | undefined;
    getWorker(id: string): entries.WorkerEntry;
}

interface MeasuredRun {
    readonly run: number;
    readonly rate: speeds.RunRate;
}

/** Creates the speeds; with the mechanism disabled, none is ever known. */
export function createWorkerSpeeds(options: WorkerSpeedsOptions): WorkerSpeeds {
    const { clock: time } = options;
    const isEnabled = !options.disabledMechanisms.has("workerSpeeds");
    const model = speeds.createSpeedModel();
    const runs = new WeakMap<entries.TaskEntry, MeasuredRun>();
    /** Latest outcome of each waiting unit that the speeds have affected. */
    const outcomes = new Map<string, decisions.SpeedChoice["kind"]>();
    /** Waiting units that have waited for a faster worker. */
    const waited = new Set<string>();

    const getRate = (task: entries.TaskEntry) => {
        let measured = runs.get(task);
        if (measured?.run !== task.run) {
            measured = { run: task.run, rate: speeds.createRunRate(getStart(task)) };
            runs.set(task, measured);
        }
        return measured.rate;
    };
    const record = (task: entries.TaskEntry, worker: entries.WorkerEntry, percent: number) => {
        const measured = getRate(task).record(percent, time.now());
        if (!measured) {
            return;
        }
        const { step } = task;
        const { job, number } = step.occurrence;
        model.observe({
            worker: getKey(worker),
            run: `${task.name}/${task.run}`,
            step: `${job.submission.jobId}.${number}.${step.number}`,
            queue: job.queue.name,
            estimateMs: step.spec.estimateMs,
            ...measured,
        }, time.now());
    };
    const getSpeed = (worker: entries.WorkerEntry) => {
        const speed = isEnabled ? model.getSpeed(getKey(worker)) : 1;
        return speed === 1 ? undefined : speed;
    };
    const getAgeMs = (worker: entries.WorkerEntry) => model.getAgeMs(getKey(worker), time.now());
    const recordChoice = ({ unit, kind, minSpeed, speed, workerIds }: decisions.SpeedChoice, queue: string) => {
        if (outcomes.get(unit.key) === kind) {
            return;
        }
        outcomes.set(unit.key, kind);
        if (kind === "waits") {
            waited.add(unit.key);
        }
        options.meter.increment("speed_choices_total", { queue, outcome: kind });
        const ages = [...new Set(workerIds)].flatMap(id => getAgeMs(options.getWorker(id)) ?? []);
        options.log.info("speedChoice", {
            unit: unit.key,
            outcome: kind,
            minSpeed: round(minSpeed),
            speed: speed === undefined ? undefined : round(speed),
            expectedMs: Math.round(unit.expectedDurationMs),
            inTimeMs: Math.round(unit.inTimeDurationMs ?? 0),
            waitedMs: Math.round(unit.waitedMs),
            oldestRateMs: ages.length === 0 ? undefined : Math.round(Math.max(...ages)),
        });
    };
    return {
        recordChoices: (choices, waiting) => {
            if (outcomes.size > 0) {
                const stillWaiting = new Set(waiting.map(({ unit }) => unit.key));
                [...outcomes.keys()].filter(key => !stillWaiting.has(key)).forEach(key => {
                    outcomes.delete(key);
                    waited.delete(key);
                });
            }
            if (choices.length === 0) {
                return;
            }
            const queues = new Map(
                waiting.map(({ unit, tasks }) => [unit.key, tasks[0]!.step.occurrence.job.queue.name]),
            );
            choices.forEach(choice => recordChoice(choice, queues.get(choice.unit.key) ?? ""));
        },
        hasWaited: unitKey => waited.has(unitKey),
        recordPoll: worker => {
            for (const task of isEnabled ? worker.tasks : []) {
                if (!isMeasurable(task, worker)) {
                    continue;
                }
                if (worker.quarantinedUntil > time.now()) {
                    // A slow phase or a hang is not the worker's natural speed.
                    getRate(task).interrupt();
                    continue;
                }
                record(task, worker, task.percent);
            }
        },
        recordEnd: end => {
            const task = isEnabled && end.how === "done" ? options.getTask(end.task) : undefined;
            // The members of a gang end together, so their ends do not show their rates.
            if (
                task?.worker && task.run === end.run && !task.step.spec.gang
                && task.worker.quarantinedUntil <= time.now() && isMeasurable(task, task.worker)
            ) {
                record(task, task.worker, 100);
            }
        },
        update: () => isEnabled && model.update(time.now()),
        getSpeed,
        getRunSpeed: ({ step, worker }) => {
            if (!step.spec.gang) {
                return (worker && getSpeed(worker)) ?? 1;
            }
            const all = step.tasks.flatMap(member => member.worker ? [getSpeed(member.worker) ?? 1] : []);
            return all.length === 0 ? 1 : Math.min(...all);
        },
        readGauges: () =>
            [...model.services].flatMap(([service, { known, observed }]): observe.GaugeSample[] => [
                { metric: "worker_speeds", labels: { service, state: "known" }, value: known.size },
                { metric: "worker_speeds", labels: { service, state: "observed" }, value: observed },
            ]),
        section: {
            name: "speeds",
            encode: maxBytes => model.encode(maxBytes),
            restore: (text, ageMs) => model.restore(text, ageMs, time.now()),
        },
    };
}

function round(speed: number): number {
    return Math.round(100 * speed) / 100;
}

function getKey({ incarnation, info }: entries.WorkerEntry): speeds.WorkerKey {
    return { name: incarnation.name, service: info.service, kind: info.labels[0] ?? "" };
}

/** The start of the current run; `undefined` if it is unknown, or if the run first restores a checkpoint. */
function getStart(task: entries.TaskEntry) {
    if (task.inherited || task.saved !== "") {
        return undefined;
    }
    const { step } = task;
    // The members of a gang make progress once the last of them has started.
    const members = step.spec.gang ? step.tasks : [task];
    return { percent: 0, at: members.reduce((latest, member) => Math.max(latest, member.runningSince), 0) };
}

/** Whether the rate of the run shows the speed of its worker, and nothing else slows the run down. */
function isMeasurable(task: entries.TaskEntry, worker: entries.WorkerEntry): boolean {
    const { spec, tasks } = task.step;
    if (
        task.phase !== "running" || spec.lasting || spec.targetMs > 0 || spec.fills
        || (spec.dataRack !== undefined && spec.dataRack !== worker.info.rack)
    ) {
        return false;
    }
    return !spec.gang || tasks.every(member =>
        member.phase === "running" && member.run === task.run
        && (!spec.sameRack || member.worker?.info.rack === worker.info.rack)
    );
}
