/**
 * The owner of one rack: holds its workers' leases, runs interactive requests there, carries out the queue owner's
 * commands, and reports what runs.
 */
import * as async from "../async/index";
import type * as platform from "../backing/index";
import type * as clock from "../clock/index";
import type * as configuration from "../configuration/index";
import type * as observe from "../observe/index";
import type * as peer from "../peer/index";
import * as result from "../result/index";
import * as answerCheck from "./answerCheck";
import * as healthModule from "./health";
import * as interactiveRunner from "./interactiveRunner";
import * as rackBooks from "./rackBooks";
import * as rackCommands from "./rackCommands";
import type * as port from "./workerPort";
import * as workerSession from "./workerSession";

export interface RackOwner {
    readonly rackId: string;
    run(req: peer.RunRequest): Promise<peer.RunReply>;
    command(command: peer.RackCommand): Promise<peer.RackCommandReply>;
    getLoad(): peer.RackLoad;
    getReport(): peer.RackReport;
    /** Whether requests are under way. */
    isBusy(): boolean;
    /** Holds the rack until the signal is aborted, then gives its leases back. */
    own(signal: AbortSignal): Promise<void>;
}

export interface RackOwnerOptions {
    readonly rack: configuration.Topology["racks"][number];
    readonly capacity: configuration.Capacity;
    readonly instanceId: string;
    readonly clock: clock.Clock;
    readonly counters: observe.Counters;
    readonly log: observe.Log;
    readonly retry: platform.RetryPolicy;
    readonly leases: workerSession.LeaseTimes;
    readonly objects: platform.ObjectStore;
    readonly createClient: (worker: { readonly id: string; readonly address: string; }) => port.Worker;
    readonly getLimits: () => configuration.Limits;
    /** Workers that take no new work: drained by the preset, or leaving by the platform's list. */
    readonly isDrained: (workerId: string) => boolean;
    /** Whether the instance was stopped as by a crash: nothing is finished or given back. */
    readonly isAbandoned: () => boolean;
    /** Sends a report to the queue owner of the rack's zone; `undefined` when it was not reached. */
    readonly sendReport: (report: peer.RackReport) => Promise<peer.RackReportReply | undefined>;
}

interface StoredAnswer {
    readonly digest: string;
    readonly length: number;
}

/** A report follows a change after this long, so that changes that come together share one. */
const REPORT_DELAY_MS = 10;
const REPORT_INTERVAL_MS = 1000;
const IDLE_POLL_MS = 20;

/** Key in the object store of the answer that an attempt of a job gave. */
export function getResultKey(jobId: string, attempt: number): string {
    return `result/${jobId}.${attempt}`;
}

export function createRackOwner(options: RackOwnerOptions): RackOwner {
    const { rack, clock: time, counters, log } = options;
    const sessions = new Map<string, workerSession.WorkerSession>();
    const storedAnswers = new Map<string, StoredAnswer>();
    const term = time.wallTime();
    let sequence = 0;
    let changed = async.createDeferred();

    const health = healthModule.createWorkerHealth({
        clock: time,
        workerCount: rack.workers.length,
        onSetAside: worker => {
            counters.increment("workers.setAside");
            log.warn("worker set aside", { worker });
        },
        onBack: worker => log.info("worker back", { worker }),
    });
    const books = rackBooks.createRackBooks(() => options.capacity, () => options.getLimits().interactiveReserve);
    const runner = interactiveRunner.createInteractiveRunner({
        clock: time,
        log: options.log,
        counters,
        books,
        health,
        sessions,
        isDrained: options.isDrained,
        getQueueLimit: () => options.getLimits().interactiveQueue,
        leaseMs: options.leases.taskMs,
    });

    const noteChange = () => {
        runner.wake();
        changed.resolve();
    };

    for (const worker of rack.workers) {
        const session = workerSession.createWorkerSession({
            client: options.createClient(worker),
            holder: options.instanceId,
            clock: time,
            counters,
            log,
            retry: options.retry,
            leases: options.leases,
            onChange: noteChange,
            keepsLease: options.isAbandoned,
        });
        sessions.set(worker.id, session);
    }

    const commands = rackCommands.createRackCommands({
        sessions,
        books,
        leases: options.leases,
        isClosed: workerId => options.isDrained(workerId),
        counters,
    });

    const isUsable = (session: workerSession.WorkerSession) =>
        session.isReady() && !options.isDrained(session.workerId) && health.isUsable(session.workerId);

    const getTaskReports = (session: workerSession.WorkerSession): peer.TaskReport[] =>
        [...session.getTasks().values()]
            .filter(task => task.status.queueZone !== "")
            .map(task => rackCommands.toTaskReport(session.workerId, task, storedAnswers.get(task.status.taskId)));

    const getReport = (): peer.RackReport => {
        sequence++;
        return {
            rackId: rack.id,
            zone: rack.zone,
            ownerId: options.instanceId,
            term,
            sequence,
            workers: [...sessions.values()].map(session => ({
                workerId: session.workerId,
                usable: isUsable(session),
                reached: session.isReady(),
                interactiveSlots: books.getInteractive(session.workerId),
                reason: session.isReady() ? "" : "no lease",
            })),
            tasks: [...sessions.values()].flatMap(getTaskReports),
        };
    };

    /**
     * The answer is stored before the end of the task is reported, so that a job never counts as done while its result
     * could still be lost with the worker. While the object store is down the report goes without it and is repeated.
     */
    const storeAnswers = async (session: workerSession.WorkerSession): Promise<void> => {
        for (const { status } of session.getTasks().values()) {
            if (status.state !== "finished" || status.queueZone === "" || storedAnswers.has(status.taskId)) {
                continue;
            }
            const [jobId, attempt, index] = splitTaskId(status.taskId);
            if (index !== "0") {
                storedAnswers.set(status.taskId, { digest: "", length: 0 });
                continue;
            }
            const outcome = await session.client.getOutcome(status.taskId);
            if (outcome.kind === "fault" || outcome.value.kind !== "finished") {
                continue;
            }
            const { answer } = outcome.value;
            const check = answerCheck.checkAnswer(answer, status.taskId);
            if (check !== "whole") {
                counters.increment(`answers.${check}`);
                continue;
            }
            if (await options.objects.put(getResultKey(jobId, Number(attempt)), answer.body)) {
                storedAnswers.set(status.taskId, { digest: answer.digest, length: answer.body.length });
            }
        }
    };

    const report = async (): Promise<void> => {
        await Promise.all([...sessions.values()].map(storeAnswers));
        const reply = await options.sendReport(getReport());
        if (!reply?.owner) {
            counters.increment("rack.reportRefused");
            return;
        }
        const confirmed = new Set(reply.confirmed);
        const acknowledged = new Set(reply.acknowledged);
        for (const session of sessions.values()) {
            for (const taskId of session.getTasks().keys()) {
                if (confirmed.has(taskId)) {
                    session.confirm(taskId);
                }
                if (acknowledged.has(taskId)) {
                    session.acknowledge(taskId);
                    storedAnswers.delete(taskId);
                }
            }
        }
    };

    const reportLoop = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            await Promise.race([changed.promise, time.sleep(REPORT_INTERVAL_MS, signal)]);
            await time.sleep(REPORT_DELAY_MS, signal);
            changed = async.createDeferred();
            try {
                await report();
            }
            catch (err) {
                log.warn("rack report failed", { rack: rack.id, cause: result.getErrorMessage(err) });
            }
        }
    };

    return {
        rackId: rack.id,
        run: runner.run,
        command: commands.execute,
        getLoad: () => {
            const usable = [...sessions.values()].filter(isUsable);
            return {
                rackId: rack.id,
                usableWorkers: usable.length,
                freeSlots: usable.reduce((sum, session) => sum + Math.max(0, books.getFree(session).slots), 0),
                waiting: runner.getWaiting(),
            };
        },
        getReport,
        isBusy: () => runner.getActive() > 0,
        own: async signal => {
            log.info("rack taken", { rack: rack.id });
            counters.increment("racks.taken");
            signal.addEventListener("abort", runner.close, { once: true });
            await Promise.all([...[...sessions.values()].map(session => session.run(signal)), reportLoop(signal)]);
            // Requests that are at a worker end there though the lease has passed on; closing now would cut their answers.
            while (runner.getActive() > 0 && !options.isAbandoned()) {
                await time.sleep(IDLE_POLL_MS);
            }
            await Promise.all([...sessions.values()].map(session => session.client.close()));
            log.info("rack given up", { rack: rack.id });
        },
    };
}

/** Job id, attempt and index of a task of a queue. */
export function splitTaskId(taskId: string): [jobId: string, attempt: string, index: string] {
    const [jobId = "", attempt = "", index = ""] = taskId.split(".");
    return [jobId, attempt, index];
}
