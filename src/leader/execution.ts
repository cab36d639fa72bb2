/** Executes the plan of a scheduling pass: requests stops, and starts tasks once their rows are stored. */
import * as decisions from "../decisions/index";
import type * as evacuation from "../evacuation/index";
import type * as observe from "../observe/index";
import type * as entries from "./entries";
import type * as jobRegistries from "./jobRegistry";
import type * as sessions from "./sessions/index";
import type * as units from "./units";

export interface ExecutionOptions {
    readonly jobRegistry: jobRegistries.JobRegistry;
    readonly orders: sessions.Orders;
    readonly reachability: sessions.ReachabilityCheck;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    getWorker(id: string): entries.WorkerEntry;
    readonly evacuations: Pick<evacuation.Evacuations, "list">;
    /** Whether the unit has waited for a faster worker. */
    hasWaitedForSpeed(unitKey: string): boolean;
    /** Time since several workers of the service were lost at once, if gangs are placed on few workers for that reason. */
    getLossAgeMs(service: string): number | undefined;
    /** Resolves when all changes made so far are stored. */
    flush(): Promise<void>;
}

/** The plan, and the tasks behind its units and groups. */
export interface PlannedPass {
    readonly plan: decisions.Plan;
    readonly waiting: readonly units.UnitOfTasks[];
    readonly groups: ReadonlyMap<string, units.GroupOfTasks>;
}

/** Requests the plan's stops and starts; does not wait for the answers. */
export function executePlan(options: ExecutionOptions, pass: PlannedPass): void {
    pass.plan.stops.forEach(stop => stopGroup(options, pass, stop));
    if (pass.plan.starts.length === 0) {
        return;
    }
    const tasksByUnit = new Map(pass.waiting.map(item => [item.unit.key, item.tasks]));
    const mayPlace = ({ unit, workerIds }: decisions.PlannedStart) =>
        options.reachability.mayPlace(tasksByUnit.get(unit.key)!, workerIds.map(options.getWorker));
    const placed = pass.plan.starts
        .filter(mayPlace)
        .flatMap(start => placeUnit(options, start, tasksByUnit.get(start.unit.key)!));
    void options.flush().then(() => options.orders.start(placed));
}

function stopGroup(
    { jobRegistry: registry, log, meter }: ExecutionOptions,
    { groups }: PlannedPass,
    stop: decisions.PlannedStop,
): void {
    const { group, forUnit } = stop;
    const claim = decisions.TIER_NAMES[stop.tier];
    const tasks = groups.get(group.key)?.tasks ?? [];
    const queue = tasks[0]?.step.occurrence.job.queue.name ?? "";
    log.info("preempting", { group: group.key, forUnit, claim, lossCoreSeconds: Math.round(group.lossCoreSeconds) });
    meter.increment("preemptions_total", { queue });
    meter.increment("preempted_core_seconds_total", { queue }, group.lossCoreSeconds);
    tasks.forEach(task => registry.requestStop(task, `preempted (${claim}) for ${forUnit}`));
}

function placeUnit(
    { jobRegistry: registry, log, meter, getWorker, evacuations, hasWaitedForSpeed, getLossAgeMs }: ExecutionOptions,
    { unit, workerIds }: decisions.PlannedStart,
    tasks: readonly entries.TaskEntry[],
): sessions.PlacedTask[] {
    registry.place(tasks, workerIds.map(getWorker));
    log.info("placed", {
        unit: unit.key,
        run: tasks[0]!.run,
        workers: [...new Set(workerIds)],
        waitedMs: Math.round(unit.waitedMs),
        claim: unit.tier,
        waitedForSpeed: hasWaitedForSpeed(unit.key) || undefined,
        evacuatedZones: evacuations.list().length || undefined,
        lossAgeMs: unit.fewWorkers ? getLossAgeMs(unit.service) : undefined,
    });
    meter.record("placement_wait_ms", { queue: tasks[0]!.step.occurrence.job.queue.name }, unit.waitedMs);
    return tasks.map(task => ({ task, run: task.run }));
}
