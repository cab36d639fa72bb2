/** Racks as the queue owner sees them: commands in, reports out. Tasks end when the clock says so. */
import type * as clock from "../clock/index";
import type * as peer from "../peer/index";
import type * as placement from "../placement/index";
import type * as random from "../random/index";
import * as workers from "../workers/index";

export interface RunRecord {
    readonly jobId: string;
    readonly attempt: number;
    readonly index: number;
    readonly members: number;
    readonly workerId: string;
    readonly accelerators: number;
    readonly startedAt: number;
    endedAt: number | undefined;
}

export interface FakeRacks {
    command(command: peer.RackCommand): Promise<peer.RackCommandReply | undefined>;
    /** Where reports go; replaced when the queue gets another owner. */
    setReceiver(receive: (report: peer.RackReport) => peer.RackReportReply | undefined): void;
    readonly records: readonly RunRecord[];
    /** Most accelerators ever in use on a worker beyond what it has. */
    getMaxOverbooking(): number;
    setLost(workerId: string, lost: boolean): void;
    setFailing(workerId: string, failing: boolean): void;
    setSilent(rackId: string, silent: boolean): void;
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

interface FakeWork {
    readonly runMs: number;
    readonly fails: boolean;
}

const REPORT_MS = 1000;
const CHECKPOINT_MS = 1000;
const LOST_TASK_MS = 15_000;
const ANSWER_LOSS = 0.5;

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
    const losing = new Set<string>();
    const inUse = new Map<string, number>();
    const shapeOf = new Map(shapes.map(shape => [shape.id, shape]));
    let receive: (report: peer.RackReport) => peer.RackReportReply | undefined = () => undefined;
    let overbooked = 0;
    let sequence = 0;
    const reportDue = new Set<string>();

    const holds = (task: FakeTask) => task.state === "prepared" || task.state === "running";

    const use = (workerId: string, by: number) => {
        const used = (inUse.get(workerId) ?? 0) + by;
        inUse.set(workerId, used);
        overbooked = Math.max(overbooked, used - shapeOf.get(workerId)!.capacity.accelerators);
    };

    const end = (task: FakeTask, state: workers.TaskState) => {
        if (!holds(task)) {
            return;
        }
        task.cancel();
        use(task.workerId, -(task.create.needs?.accelerators ?? 0));
        if (task.record) {
            task.record.endedAt = time.now();
            task.ranMs = time.now() - task.record.startedAt;
        }
        task.state = state;
        reportSoon(task.workerId);
    };

    const begin = (task: FakeTask) => {
        if (task.state !== "prepared") {
            return;
        }
        const note = workers.readNote(task.create.note);
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
        const leftMs = fails ? 1 : Math.max(1, work.runMs - task.create.resumeMs);
        task.cancel = time.setTimer(leftMs, () => end(task, fails ? "failed" : "finished"));
        reportSoon(task.workerId);
    };

    const status = (taskId: string, task: FakeTask): peer.TaskReport => ({
        taskId,
        workerId: task.workerId,
        state: task.state,
        needs: task.create.needs,
        queueZone: zone,
        note: task.create.note,
        ranMs: task.state === "running" ? time.now() - task.record!.startedAt : task.ranMs,
        savedMs: task.savedMs,
        message: task.state === "failed" ? "the work failed" : "",
        confirmed: task.confirmed,
        answerDigest: task.state === "finished" ? "digest" : "",
        answerLength: 1,
    });

    const refused = (reason: string): peer.CommandResult => ({ result: { $case: "refused", value: { reason } } });

    const stop = async (taskId: string, workerId: string, mode: string): Promise<peer.CommandResult> => {
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
            const barred: FakeTask = {
                create,
                workerId,
                state: "tombstoned",
                record: undefined,
                ranMs: 0,
                savedMs: 0,
                confirmed: false,
                cancel: () => undefined,
            };
            return { result: { $case: "status", value: status(taskId, barred) } };
        }
        if (mode === "checkpoint" && task.state === "running") {
            await time.sleep(CHECKPOINT_MS);
            task.savedMs = task.create.resumeMs + time.now() - task.record!.startedAt;
        }
        end(task, task.state === "running" ? "stopped" : "tombstoned");
        return { result: { $case: "status", value: status(taskId, task) } };
    };

    const execute = async (command: peer.TaskCommand): Promise<peer.CommandResult> => {
        const { workerId, action } = command;
        if (lost.has(workerId)) {
            return refused("unreachable");
        }
        switch (action?.$case) {
            case "create": {
                const { taskId } = action.value;
                if (tombstones.has(taskId)) {
                    return refused("tombstoned");
                }
                const known = tasks.get(taskId);
                const task: FakeTask = known
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
                if (!known) {
                    tasks.set(taskId, task);
                    use(workerId, action.value.needs?.accelerators ?? 0);
                }
                if (action.value.start) {
                    begin(task);
                }
                return { result: { $case: "status", value: status(taskId, task) } };
            }
            case "start": {
                const task = tasks.get(action.value.taskId);
                if (!task) {
                    return refused("unknownTask");
                }
                begin(task);
                return { result: { $case: "status", value: status(action.value.taskId, task) } };
            }
            case "confirm": {
                const task = tasks.get(action.value.taskId);
                if (!task) {
                    return refused("unknownTask");
                }
                task.confirmed = true;
                return { result: { $case: "status", value: status(action.value.taskId, task) } };
            }
            case "stop":
                return stop(action.value.taskId, workerId, action.value.mode);
            case undefined:
                return refused("unknownCommand");
        }
    };

    const report = (rackId: string) => {
        if (silent.has(rackId)) {
            return;
        }
        sequence++;
        const own = shapes.filter(shape => shape.rackId === rackId);
        const ids = new Set(own.map(shape => shape.id));
        const reply = receive({
            rackId,
            zone,
            ownerId: "fake",
            term: 1,
            sequence,
            workers: own.map(shape => ({
                workerId: shape.id,
                usable: !lost.has(shape.id),
                reached: !lost.has(shape.id),
                interactiveSlots: 0,
                reason: "",
            })),
            tasks: [...tasks].filter(([, task]) => ids.has(task.workerId) && !lost.has(task.workerId)).map((
                [id, task],
            ) => status(id, task)),
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

    const reportSoon = (workerId: string) => {
        const { rackId } = shapeOf.get(workerId)!;
        if (reportDue.has(rackId)) {
            return;
        }
        reportDue.add(rackId);
        time.setTimer(1, () => {
            reportDue.delete(rackId);
            report(rackId);
        });
    };

    for (const rackId of new Set(shapes.map(shape => shape.rackId))) {
        const repeat = () => {
            report(rackId);
            time.setTimer(REPORT_MS, repeat);
        };
        time.setTimer(1, repeat);
    }

    return {
        records,
        getMaxOverbooking: () => overbooked,
        setReceiver: receiver => {
            receive = receiver;
        },
        command: async command => {
            await time.sleep(1);
            if (silent.has(command.rackId)) {
                return undefined;
            }
            const results = await Promise.all(command.commands.map(execute));
            return losing.has(command.rackId) && rng.nextFloat() < ANSWER_LOSS ? undefined : { owner: true, results };
        },
        setLost: (workerId, isLost) => {
            if (!isLost) {
                lost.delete(workerId);
                reportSoon(workerId);
                return;
            }
            lost.add(workerId);
            // Nobody renews the leases of its tasks, so the worker stops them.
            time.setTimer(LOST_TASK_MS, () => {
                for (const task of tasks.values()) {
                    if (task.workerId === workerId && lost.has(workerId)) {
                        end(task, task.state === "running" ? "stopped" : "tombstoned");
                    }
                }
            });
        },
        setFailing: (workerId, isFailing) => isFailing ? void failing.add(workerId) : void failing.delete(workerId),
        setSilent: (rackId, isSilent) => isSilent ? void silent.add(rackId) : void silent.delete(rackId),
        setDropsResponses: (rackId, loses) => loses ? void losing.add(rackId) : void losing.delete(rackId),
    };
}
