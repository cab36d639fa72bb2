/** Fake racks: they execute the queue owner's commands and send it reports. Tasks end by timers of the clock. */
import type * as clock from "../clock/index";
import type * as peer from "../peer/index";
import type * as placement from "../placement/index";
import type * as random from "../random/index";
import * as workers from "../workers/index";

/** A start of one member of a job's attempt on a worker. */
export interface RunRecord {
    readonly jobId: string;
    readonly attempt: number;
    /** Index of the member within its gang. */
    readonly index: number;
    /** Size of the gang. */
    readonly members: number;
    readonly workerId: string;
    readonly accelerators: number;
    readonly startedAt: number;
    endedAt: number | undefined;
}

/** All racks of a scenario's zone. */
export interface FakeRacks {
    /** Executes commands; returns `undefined` if the rack is silent or the response is lost. */
    command(command: peer.RackCommand): Promise<peer.RackCommandReply | undefined>;
    /** Sets the receiver of reports; each new queue owner replaces it. */
    setReceiver(receive: (report: peer.RackReport) => peer.RackReportReply | undefined): void;
    /** All starts so far. */
    readonly records: readonly RunRecord[];
    /** Maximum number of accelerators in use beyond a worker's capacity, over all workers and times. */
    getMaxOverbooking(): number;
    /** A lost worker refuses commands and is reported as unusable; its tasks stop when their leases expire. */
    setLost(workerId: string, lost: boolean): void;
    /** Tasks that start on a failing worker fail. */
    setFailing(workerId: string, failing: boolean): void;
    /** A silent rack neither executes commands nor sends reports. */
    setSilent(rackId: string, silent: boolean): void;
    /** While set, some responses to commands are lost after the commands were executed. */
    setDropsResponses(rackId: string, loses: boolean): void;
}

interface FakeTask {
    readonly create: peer.TaskCreate;
    readonly workerId: string;
    state: workers.TaskState;
    record: RunRecord | undefined;
    ranMs: number;
    savedMs: number;
    confirmed: boolean;
    cancel: clock.CancelTimer;
}

/** Content of a task's payload. */
interface FakeWork {
    readonly runMs: number;
    readonly fails: boolean;
}

const REPORT_INTERVAL_MS = 1000;
/** Time that a checkpoint takes. */
const CHECKPOINT_MS = 1000;
/** Duration of the tasks' leases. */
const TASK_LEASE_MS = 15_000;
/** Probability that a response to commands is lost. */
const RESPONSE_LOSS_PROBABILITY = 0.5;

/** `shapes` are the workers of all racks; the random numbers choose which responses are lost. */
export function createFakeRacks(
    time: clock.Clock,
    rng: random.Random,
    zone: string,
    shapes: readonly placement.WorkerShape[],
): FakeRacks {
    const tasks = new Map<string, FakeTask>();
    const tombstones = new Set<string>();
    const records: RunRecord[] = [];
    const lost = new Set<string>();
    const failing = new Set<string>();
    const silent = new Set<string>();
    const dropping = new Set<string>();
    const inUse = new Map<string, number>();
    const shapeById = new Map(shapes.map(shape => [shape.id, shape]));
    let receive: (report: peer.RackReport) => peer.RackReportReply | undefined = () => undefined;
    let maxOverbooking = 0;
    let sequence = 0;
    const scheduledReports = new Set<string>();

    const holdsResources = (task: FakeTask) => task.state === "prepared" || task.state === "running";

    const addUse = (workerId: string, change: number) => {
        const used = (inUse.get(workerId) ?? 0) + change;
        inUse.set(workerId, used);
        maxOverbooking = Math.max(maxOverbooking, used - shapeById.get(workerId)!.capacity.accelerators);
    };

    const endTask = (task: FakeTask, state: workers.TaskState) => {
        if (!holdsResources(task)) {
            return;
        }
        task.cancel();
        addUse(task.workerId, -(task.create.needs?.accelerators ?? 0));
        if (task.record) {
            task.record.endedAt = time.now();
            task.ranMs = time.now() - task.record.startedAt;
        }
        task.state = state;
        scheduleReport(task.workerId);
    };

    const startTask = (task: FakeTask) => {
        if (task.state !== "prepared") {
            return;
        }
        const note = workers.parseTaskNote(task.create.note);
        const work = JSON.parse(task.create.payload) as FakeWork;
        task.state = "running";
        task.record = {
            jobId: note.jobId,
            attempt: note.attempt,
            index: note.index,
            members: note.members,
            workerId: task.workerId,
            accelerators: task.create.needs?.accelerators ?? 0,
            startedAt: time.now(),
            endedAt: undefined,
        };
        records.push(task.record);
        const fails = work.fails || failing.has(task.workerId);
        const remainingMs = fails ? 1 : Math.max(1, work.runMs - task.create.resumeMs);
        task.cancel = time.setTimer(remainingMs, () => endTask(task, fails ? "failed" : "finished"));
        scheduleReport(task.workerId);
    };

    const getTaskReport = (taskId: string, task: FakeTask): peer.TaskReport => ({
        taskId,
        workerId: task.workerId,
        state: task.state,
        needs: task.create.needs,
        queueZone: zone,
        note: task.create.note,
        ranMs: task.state === "running" ? time.now() - task.record!.startedAt : task.ranMs,
        savedMs: task.savedMs,
        message: task.state === "failed" ? "the fake task failed" : "",
        confirmed: task.confirmed,
        answerDigest: task.state === "finished" ? "digest" : "",
        answerLength: 1,
    });

    const createRefusal = (reason: string): peer.CommandResult => ({ result: { $case: "refused", value: { reason } } });

    const stopTask = async (taskId: string, workerId: string, mode: string): Promise<peer.CommandResult> => {
        const task = tasks.get(taskId);
        if (!task) {
            tombstones.add(taskId);
            const create = {
                taskId,
                account: "",
                needs: undefined,
                queueZone: zone,
                note: "",
                payload: "",
                resumeMs: 0,
                start: false,
            };
            const tombstone: FakeTask = {
                create,
                workerId,
                state: "tombstoned",
                record: undefined,
                ranMs: 0,
                savedMs: 0,
                confirmed: false,
                cancel: () => undefined,
            };
            return { result: { $case: "status", value: getTaskReport(taskId, tombstone) } };
        }
        if (mode === "checkpoint" && task.state === "running") {
            await time.sleep(CHECKPOINT_MS);
            task.savedMs = task.create.resumeMs + time.now() - task.record!.startedAt;
        }
        endTask(task, task.state === "running" ? "stopped" : "tombstoned");
        return { result: { $case: "status", value: getTaskReport(taskId, task) } };
    };

    const executeCommand = async (command: peer.TaskCommand): Promise<peer.CommandResult> => {
        const { workerId, action } = command;
        if (lost.has(workerId)) {
            return createRefusal("unreachable");
        }
        switch (action?.$case) {
            case "create": {
                const { taskId } = action.value;
                if (tombstones.has(taskId)) {
                    return createRefusal("tombstoned");
                }
                const existing = tasks.get(taskId);
                const task: FakeTask = existing
                    ?? {
                        create: action.value,
                        workerId,
                        state: "prepared",
                        record: undefined,
                        ranMs: 0,
                        savedMs: 0,
                        confirmed: false,
                        cancel: () => undefined,
                    };
                if (!existing) {
                    tasks.set(taskId, task);
                    addUse(workerId, action.value.needs?.accelerators ?? 0);
                }
                if (action.value.start) {
                    startTask(task);
                }
                return { result: { $case: "status", value: getTaskReport(taskId, task) } };
            }
            case "start": {
                const task = tasks.get(action.value.taskId);
                if (!task) {
                    return createRefusal("unknownTask");
                }
                startTask(task);
                return { result: { $case: "status", value: getTaskReport(action.value.taskId, task) } };
            }
            case "confirm": {
                const task = tasks.get(action.value.taskId);
                if (!task) {
                    return createRefusal("unknownTask");
                }
                task.confirmed = true;
                return { result: { $case: "status", value: getTaskReport(action.value.taskId, task) } };
            }
            case "stop":
                return stopTask(action.value.taskId, workerId, action.value.mode);
            case undefined:
                return createRefusal("unknownCommand");
        }
    };

    const sendReport = (rackId: string) => {
        if (silent.has(rackId)) {
            return;
        }
        sequence++;
        const rackShapes = shapes.filter(shape => shape.rackId === rackId);
        const ids = new Set(rackShapes.map(shape => shape.id));
        const reply = receive({
            rackId,
            zone,
            ownerId: "fake",
            term: 1,
            sequence,
            workers: rackShapes.map(shape => ({
                workerId: shape.id,
                usable: !lost.has(shape.id),
                reached: !lost.has(shape.id),
                interactiveSlots: 0,
                reason: "",
            })),
            tasks: [...tasks].filter(([, task]) => ids.has(task.workerId) && !lost.has(task.workerId)).map((
                [id, task],
            ) => getTaskReport(id, task)),
        });
        for (const taskId of reply?.confirmed ?? []) {
            const task = tasks.get(taskId);
            if (task) {
                task.confirmed = true;
            }
        }
        for (const taskId of reply?.acknowledged ?? []) {
            tasks.delete(taskId);
        }
    };

    const scheduleReport = (workerId: string) => {
        const { rackId } = shapeById.get(workerId)!;
        if (scheduledReports.has(rackId)) {
            return;
        }
        scheduledReports.add(rackId);
        time.setTimer(1, () => {
            scheduledReports.delete(rackId);
            sendReport(rackId);
        });
    };

    for (const rackId of new Set(shapes.map(shape => shape.rackId))) {
        const repeat = () => {
            sendReport(rackId);
            time.setTimer(REPORT_INTERVAL_MS, repeat);
        };
        time.setTimer(1, repeat);
    }

    return {
        records,
        getMaxOverbooking: () => maxOverbooking,
        setReceiver: receiver => {
            receive = receiver;
        },
        command: async command => {
            await time.sleep(1);
            if (silent.has(command.rackId)) {
                return undefined;
            }
            const results = await Promise.all(command.commands.map(executeCommand));
            return dropping.has(command.rackId) && rng.nextFloat() < RESPONSE_LOSS_PROBABILITY
                ? undefined
                : { owner: true, results };
        },
        setLost: (workerId, isLost) => {
            if (!isLost) {
                lost.delete(workerId);
                scheduleReport(workerId);
                return;
            }
            lost.add(workerId);
            // The leases of its tasks are not renewed, so the worker stops them at their expiry.
            time.setTimer(TASK_LEASE_MS, () => {
                for (const task of tasks.values()) {
                    if (task.workerId === workerId && lost.has(workerId)) {
                        endTask(task, task.state === "running" ? "stopped" : "tombstoned");
                    }
                }
            });
        },
        setFailing: (workerId, isFailing) => isFailing ? void failing.add(workerId) : void failing.delete(workerId),
        setSilent: (rackId, isSilent) => isSilent ? void silent.add(rackId) : void silent.delete(rackId),
        setDropsResponses: (rackId, drops) => drops ? void dropping.add(rackId) : void dropping.delete(rackId),
    };
}
