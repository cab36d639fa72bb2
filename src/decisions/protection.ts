/**
 * Keeps lasting steps at work: of their tasks no more are stopped at a time than the step may miss.
 *
 * What goes wrong without it: a guaranteed gang takes room from as many tasks of one lasting step as it needs, and the
 * users whom that step serves find none of it at work. One notices several tasks of a step that are away at once.
 */
import type * as types from "./types";

export interface Protector {
    /** Whether the group may be stopped beside all that was chosen before. */
    mayStop(group: types.RunningGroup): boolean;
    /** Of these victims, those that may not be stopped beside the others; the first ones go first. */
    findExcess(victims: readonly types.RunningGroup[]): readonly types.RunningGroup[];
    choose(victims: readonly types.RunningGroup[]): void;
}

export function createProtector(): Protector {
    const chosenByStep = new Map<string, number>();
    const getLeft = (protection: types.Protection, chosen: ReadonlyMap<string, number>) =>
        protection.mayStop - (chosen.get(protection.step) ?? 0);
    const count = (victims: readonly types.RunningGroup[], counts: Map<string, number>) => {
        const excess: types.RunningGroup[] = [];
        for (const victim of victims) {
            if (!victim.protection) {
                continue;
            }
            if (getLeft(victim.protection, counts) <= 0) {
                excess.push(victim);
                continue;
            }
            counts.set(victim.protection.step, (counts.get(victim.protection.step) ?? 0) + 1);
        }
        return excess;
    };
    return {
        mayStop: group => !group.protection || getLeft(group.protection, chosenByStep) > 0,
        findExcess: victims => count(victims, new Map(chosenByStep)),
        choose: victims => void count(victims, chosenByStep),
    };
}
