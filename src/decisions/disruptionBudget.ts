/**
 * Keeps lasting steps at work: of their tasks no more are stopped at a time than the step may miss.
 *
 * What goes wrong without it: a guaranteed gang takes room from as many tasks of one lasting step as it needs, and the
 * users whom that step serves find none of it at work. One notices several tasks of a step that are away at once.
 */
import type * as types from "./types";

export interface DisruptionBudgets {
    /** Whether the group may be stopped beside all that was chosen before. */
    canStop(group: types.RunningGroup): boolean;
    /** Of these victims, those that may not be stopped beside the others; the first ones go first. */
    findOverBudget(victims: readonly types.RunningGroup[]): readonly types.RunningGroup[];
    recordStops(victims: readonly types.RunningGroup[]): void;
}

export function createDisruptionBudgets(): DisruptionBudgets {
    const chosenByStep = new Map<string, number>();
    const getLeft = (protection: types.DisruptionBudget, chosen: ReadonlyMap<string, number>) =>
        protection.allowedDisruptions - (chosen.get(protection.step) ?? 0);
    const count = (victims: readonly types.RunningGroup[], counts: Map<string, number>) => {
        const excess: types.RunningGroup[] = [];
        for (const victim of victims) {
            if (!victim.disruptionBudget) {
                continue;
            }
            if (getLeft(victim.disruptionBudget, counts) <= 0) {
                excess.push(victim);
                continue;
            }
            counts.set(victim.disruptionBudget.step, (counts.get(victim.disruptionBudget.step) ?? 0) + 1);
        }
        return excess;
    };
    return {
        canStop: group => !group.disruptionBudget || getLeft(group.disruptionBudget, chosenByStep) > 0,
        findOverBudget: victims => count(victims, new Map(chosenByStep)),
        recordStops: victims => void count(victims, chosenByStep),
    };
}
