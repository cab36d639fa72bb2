/**
 * The owner of one rack: holds its workers' leases, runs interactive requests on them, executes the queue owner's
 * commands, and reports the workers' tasks.
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
import * as rackAllocations from "./rackAllocations";
import * as rackCommands from "./rackCommands";
import type * as port from "./workerPort";
import * as workerSession from "./workerSession";

/** One rack, as long as this instance owns it. */
export interface RackOwner {
    readonly rackId: string;
    /** Runs an interactive request. */
    run(req: peer.RunRequest): Promise<peer.RunReply>;
    /** Executes commands of the queue owner. */
    command(command: peer.RackCommand): Promise<peer.RackCommandReply>;
    /** Usable workers, free slots and waiting requests. */
    getLoad(): peer.RackLoad;
    /** State of all workers and queued tasks, with the next sequence number. */
    getReport(): peer.RackReport;
    /** Whether interactive requests are in progress. */
    isBusy(): boolean;
    /** Holds the workers' leases until the signal is aborted, then releases them and waits for requests in progress. */
    own(signal: AbortSignal): Promise<void>;
}

/** Options of `createRackOwner`. */
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
    /** Whether the worker takes no new work: drained by the preset, or listed as leaving by the platform. */
    readonly isDrained: (workerId: string) => boolean;
    /** Whether the instance stops as in a crash: requests are not finished and leases are not released. */
    readonly isAbandoned: () => boolean;
    /** Sends a report to the queue owner of the rack's zone; resolves to `undefined` if there was no reply. */
    readonly sendReport: (report: peer.RackReport) => Promise<peer.RackReportReply | undefined>;
}

interface StoredAnswer {
    readonly digest: string;
    readonly length: number;
}

/** Delay between a change and its report, so that one report covers several changes. */
const REPORT_DELAY_MS = 10;
const REPORT_INTERVAL_MS = 1000;
const IDLE_POLL_INTERVAL_MS = 20;

/** Object store key of the answer of a job's attempt. */
export function getResultKey(jobId: string, attempt: number): string {
    return `result/${jobId}.${attempt}`;
}

/** Creates an owner that holds no leases until `own` is called. */
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
        onQuarantined: worker => {
            counters.increment("workers.setAside");
            log.warn("worker set aside", { worker });
        },
        onRestored: worker => log.info("worker back", { worker }),
    });
    const allocations = rackAllocations.createRackAllocations(
        () => options.capacity,
        () => options.getLimits().interactiveReserve,
    );
    const runner = interactiveRunner.createInteractiveRunner({
        clock: time,
        log: options.log,
        counters,
        allocations,
        health,
        sessions,
        isDrained: options.isDrained,
        getQueueLimit: () => options.getLimits().interactiveQueue,
        leaseMs: options.leases.taskMs,
    });

    const handleChange = () => {
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
            onChange: handleChange,
            shouldKeepLease: options.isAbandoned,
        });
        sessions.set(worker.id, session);
    }

    const commands = rackCommands.createRackCommands({
        sessions,
        allocations,
        leases: options.leases,
        isDrained: workerId => options.isDrained(workerId),
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
                interactiveSlots: allocations.getInteractiveCount(session.workerId),
                reason: session.isReady() ? "" : "no lease",
            })),
            tasks: [...sessions.values()].flatMap(getTaskReports),
        };
    };

    /**
     * Stores answers before the end of their tasks is reported; otherwise a job could count as done and its result be
     * lost with the worker. While the object store is down, reports are sent without the answer and repeated.
     */
    const storeAnswers = async (session: workerSession.WorkerSession): Promise<void> => {
        for (const { status } of session.getTasks().values()) {
            if (status.state !== "finished" || status.queueZone === "" || storedAnswers.has(status.taskId)) {
                continue;
            }
            const [jobId, attempt, index] = parseTaskId(status.taskId);
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

    const runReportLoop = async (signal: AbortSignal): Promise<void> => {
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
                freeSlots: usable.reduce((sum, session) => sum + Math.max(0, allocations.getFree(session).slots), 0),
                waiting: runner.getWaiting(),
            };
        },
        getReport,
        isBusy: () => runner.getActive() > 0,
        own: async signal => {
            log.info("rack taken", { rack: rack.id });
            counters.increment("racks.taken");
            signal.addEventListener("abort", runner.close, { once: true });
            await Promise.all([...[...sessions.values()].map(session => session.run(signal)), runReportLoop(signal)]);
            // Requests at a worker complete after the lease is released; closing clients now would lose their answers.
            while (runner.getActive() > 0 && !options.isAbandoned()) {
                await time.sleep(IDLE_POLL_INTERVAL_MS);
            }
            await Promise.all([...sessions.values()].map(session => session.client.close()));
            log.info("rack given up", { rack: rack.id });
        },
    };
}

/** Splits the id of a queued task; parts that are missing are empty. */
export function parseTaskId(taskId: string): [jobId: string, attempt: string, index: string] {
    const [jobId = "", attempt = "", index = ""] = taskId.split(".");
    return [jobId, attempt, index];
}
