/** Asks the adviser for the workers that may run a step, for queues whose tasks need a ticket to start. */
import type * as clock from "../clock/index";
import * as decisions from "../decisions/index";
import type * as observe from "../observe/index";
import type * as directory from "./directory";
import type * as entries from "./entries";
import type * as units from "./units";

export interface AdviceRequesterOptions {
    readonly adviser: directory.Adviser;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly signal: AbortSignal;
    onTicketsChanged(): void;
}

export interface AdviceRequester {
    /** Asks for steps that wait while the workers that they may use have no room for them. */
    requestAdvice(waiting: readonly units.UnitOfTasks[], placeable: readonly entries.WorkerEntry[]): void;
}

/** Workers named in one call: the adviser's time grows with each, and a job's objective allows for a call of 30. */
const WORKERS_PER_CALL = 30;
/** A ticket must outlast the way to the worker. */
const TICKET_MARGIN_MS = 400;
const CALL_SLACK_MS = 1_500;
/** After a call without a usable answer the step waits this long for the next. */
const RETRY_MS = 300;

export function createAdviceRequester(options: AdviceRequesterOptions): AdviceRequester {
    const asking = new Set<string>();
    /** Workers that were asked about for a step and are not good for it; which ones are good does not change. */
    const refused = new WeakMap<entries.StepEntry, Set<string>>();

    const call = async (name: string, step: entries.StepEntry, workers: readonly entries.WorkerEntry[]) => {
        const terms = step.occurrence.job.queue.advice!;
        const sentAt = options.clock.now();
        const timeoutMs = terms.decideMs + terms.eachMs * workers.length + CALL_SLACK_MS;
        const result = await options.adviser.advise(name, workers.map(worker => worker.incarnation.name), timeoutMs);
        if (options.signal.aborted) {
            return;
        }
        if (result.kind === "unavailable") {
            options.log.info("adviceUnavailable", { step: name, why: result.message });
            await options.clock.sleep(RETRY_MS, options.signal);
        }
        else {
            const bad = refused.get(step) ?? new Set<string>();
            workers.forEach(worker => bad.add(worker.id));
            const asked = new Map(workers.map(worker => [worker.incarnation.name, worker.id]));
            for (const good of result.suitable) {
                const workerId = asked.get(good.workerName);
                if (workerId === undefined) {
                    continue;
                }
                bad.delete(workerId);
                step.tickets.set(workerId, {
                    ticket: good.ticket,
                    until: sentAt + (result.validMs || terms.validMs) - TICKET_MARGIN_MS,
                });
            }
            refused.set(step, bad);
            options.log.info("advised", { step: name, asked: workers.length, good: result.suitable.length });
        }
        asking.delete(name);
        options.onTicketsChanged();
    };

    return {
        requestAdvice: (waiting, placeable) => {
            const now = options.clock.now();
            for (const { unit, tasks } of waiting) {
                const step = tasks[0]!.step;
                if (!unit.allowedWorkerIds || asking.has(unit.step) || hasUsableRoom(unit, placeable)) {
                    continue;
                }
                const bad = refused.get(step);
                const candidates = placeable
                    .filter(worker => worker.info.service === unit.service && !bad?.has(worker.id))
                    .filter(worker =>
                        unit.requiredLabel === undefined
                        || worker.info.labels.includes(unit.requiredLabel)
                    )
                    .filter(worker => (step.tickets.get(worker.id)?.until ?? 0) <= now)
                    .sort((a, b) => getFreeAccelerators(b) - getFreeAccelerators(a))
                    .slice(0, WORKERS_PER_CALL);
                if (candidates.length === 0) {
                    continue;
                }
                asking.add(unit.step);
                void call(unit.step, step, candidates);
            }
        },
    };
}

/** Whether workers whose tickets are at hand have room for the whole unit now. */
function hasUsableRoom(unit: decisions.WaitingUnit, placeable: readonly entries.WorkerEntry[]): boolean {
    let members = 0;
    for (const worker of placeable) {
        if (unit.allowedWorkerIds!.has(worker.id) && !unit.excludedWorkerIds.has(worker.id)) {
            const room = decisions.copyResources(worker.info.capacity);
            decisions.subtractResources(room, worker.used);
            members += decisions.countFits(room, unit.needs);
        }
    }
    return members >= unit.count;
}

function getFreeAccelerators(worker: entries.WorkerEntry): number {
    return worker.info.capacity.accelerators - worker.used.accelerators;
}
