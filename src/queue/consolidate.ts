/** Consolidation: moves tasks off partially used workers, so that large jobs find fully free ones. */
import type * as configuration from "../configuration/index";
import * as placement from "../placement/index";
import * as decisionState from "./decisionState";

/** Minimum time between two consolidations; each moves the tasks of one worker. */
const CONSOLIDATION_INTERVAL_MS = 15_000;
/** A task is moved only if its expected remaining run time is at least this multiple of the cost of a move. */
const MIN_RUN_TO_MOVE_COST_RATIO = 6;
/** Approximate time to stop a task with a checkpoint and restore it elsewhere. */
export const MOVE_COST_MS = 20_000;

/** Moves the tasks of the worker with the fewest accelerators in use onto others, so that it becomes fully free. */
export function consolidate(
    state: decisionState.DecisionState,
    actions: decisionState.DecisionActions,
    now: number,
    policy: Extract<configuration.Policy, { kind: "guaranteed"; }>,
): void {
    if (now - state.consolidatedAt < CONSOLIDATION_INTERVAL_MS || policy.fragmentationWeight === 0) {
        return;
    }
    state.consolidatedAt = now;
    const minCostRatio = MIN_RUN_TO_MOVE_COST_RATIO * policy.completionWeight / policy.fragmentationWeight;
    const moves = placement.findConsolidation(state.fleet, {
        minRemainingMs: minCostRatio * MOVE_COST_MS,
        isMovable: task => {
            const entry = state.running.get(task.jobId);
            const hasRunLongEnough = now - task.placedAt > minCostRatio * MOVE_COST_MS / 2;
            return !!entry && entry.members.length === 1 && !entry.evicting && hasRunLongEnough
                && !state.held.has(task.jobId);
        },
        createRequest: task => decisionState.createRequest(state, state.running.get(task.jobId)!.job, now),
    }, now);
    for (const { task, to } of moves ?? []) {
        const { job } = state.running.get(task.jobId)!;
        const members = [
            placement.createMember(decisionState.createRequest(state, job, now), to, task.needs.accelerators),
        ];
        to.reservation = { jobId: task.jobId, startAt: now, exclusive: true };
        state.held.set(task.jobId, { kind: "move", workers: [to], startAt: now, createdAt: now, members });
        actions.evict(task.jobId, "consolidate");
    }
}
