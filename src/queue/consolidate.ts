/** Emptying nearly empty workers, so that they are whole for large jobs. */
import type * as configuration from "../configuration/index";
import * as placement from "../placement/index";
import * as decisionState from "./decisionState";

/** Between two consolidations; each moves the tasks of one worker. */
const CONSOLIDATE_EVERY_MS = 15_000;
/** A task is moved only if it is expected to run for this many times the cost of a move. */
const MOVE_WORTH = 6;
/** What stopping with a checkpoint and restoring it takes, roughly. */
export const MOVE_COST_MS = 20_000;

/** Moves the tasks of one nearly empty worker onto others, so that it becomes whole for the large. */
export function consolidate(
    state: decisionState.DecisionState,
    actions: decisionState.DecisionActions,
    now: number,
    policy: Extract<configuration.Policy, { kind: "guaranteed"; }>,
): void {
    if (now - state.consolidatedAt < CONSOLIDATE_EVERY_MS || policy.fragmentationWeight === 0) {
        return;
    }
    state.consolidatedAt = now;
    const worth = MOVE_WORTH * policy.completionWeight / policy.fragmentationWeight;
    const moves = placement.findConsolidation(state.books, {
        minRemainingMs: worth * MOVE_COST_MS,
        isMovable: task => {
            const entry = state.running.get(task.jobId);
            const isSettled = now - task.placedAt > worth * MOVE_COST_MS / 2;
            return !!entry && entry.members.length === 1 && !entry.evicting && isSettled && !state.held.has(task.jobId);
        },
        createRequest: task => decisionState.createRequest(state, state.running.get(task.jobId)!.job, now),
    }, now);
    for (const { task, to } of moves ?? []) {
        const { job } = state.running.get(task.jobId)!;
        const members = [
            placement.createMember(decisionState.createRequest(state, job, now), to, task.needs.accelerators),
        ];
        to.reservation = { jobId: task.jobId, startAt: now, firm: true };
        state.held.set(task.jobId, { kind: "move", workers: [to], startAt: now, madeAt: now, members });
        actions.evict(task.jobId, "consolidate");
    }
}
