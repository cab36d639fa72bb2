/**
 * Disruption budgets: of a lasting step, no more tasks are stopped at a time than its budget allows.
 *
 * Without budgets, a guaranteed gang may preempt all tasks of one lasting step, which then serves none of its users.
 */
import type * as types from "./types";

/** The budgets of all lasting steps, less what was used within a pass. */
export interface DisruptionBudgets {
    /** Whether the group may be stopped in addition to all recorded stops. */
    canStop(group: types.RunningGroup): boolean;
    /** The victims that exceed the budget of their step; earlier victims use the budget first. */
    findOverBudget(victims: readonly types.RunningGroup[]): readonly types.RunningGroup[];
    /** Charges the victims to the budgets. */
    recordStops(victims: readonly types.RunningGroup[]): void;
}

/** Budgets of which the pass has used nothing yet. */
export function createDisruptionBudgets(): DisruptionBudgets {
    const stopsByStep = new Map<string, number>();
    const getRemaining = (budget: types.DisruptionBudget, stops: ReadonlyMap<string, number>) =>
        budget.allowedDisruptions - (stops.get(budget.step) ?? 0);
    const charge = (victims: readonly types.RunningGroup[], stops: Map<string, number>) => {
        const overBudget: types.RunningGroup[] = [];
        for (const victim of victims) {
            if (!victim.disruptionBudget) {
                continue;
            }
            if (getRemaining(victim.disruptionBudget, stops) <= 0) {
                overBudget.push(victim);
                continue;
            }
            stops.set(victim.disruptionBudget.step, (stops.get(victim.disruptionBudget.step) ?? 0) + 1);
        }
        return overBudget;
    };
    return {
        canStop: group => !group.disruptionBudget || getRemaining(group.disruptionBudget, stopsByStep) > 0,
        findOverBudget: victims => charge(victims, new Map(stopsByStep)),
        recordStops: victims => void charge(victims, stopsByStep),
    };
}
