/** The stage of each machine of a wave, updated from the platform's list of machines. */
import type * as machines from "../machines";

/** Stage of one machine. */
export type MachineStage =
    | { readonly kind: "pending"; }
    /** Drained: gets no new tasks, and is ordered down when no task is left. */
    | { readonly kind: "draining"; readonly workerName: string; readonly since: number; }
    /** The order is stored and may be in flight; at `confirmedAt` the upkeep was known to have begun, or to be over. */
    | { readonly kind: "ordered"; readonly workerName: string; readonly confirmedAt: number | undefined; }
    | { readonly kind: "done"; }
    /** Not listed by the platform, or not part of this wave. */
    | { readonly kind: "gone"; };

/** Stages by the id of the machine. */
export type MachineStages = Map<string, MachineStage>;
/** Listed machines by id. */
export type PresentMachines = ReadonlyMap<string, machines.Machine>;

/**
 * Updates the stages of machines that came back or that are no longer listed. A machine that is still up `longestMs`
 * after its order was confirmed had its upkeep before: the order was a repetition.
 */
export function updateStages(stages: MachineStages, present: PresentMachines, now: number, longestMs: number): void {
    for (const [id, stage] of stages) {
        const machine = present.get(id);
        if (!machine) {
            if (stage.kind !== "done") {
                stages.set(id, { kind: "gone" });
            }
            continue;
        }
        switch (stage.kind) {
            case "ordered":
                stages.set(id, updateOrdered(stage, machine, now, longestMs));
                break;
            case "draining":
                if (machine.up && machine.workerName !== stage.workerName) {
                    stages.set(id, { ...stage, workerName: machine.workerName });
                }
                break;
            case "gone":
                stages.set(id, { kind: "pending" });
                break;
            case "pending":
            case "done":
                break;
        }
    }
}

function updateOrdered(
    stage: Extract<MachineStage, { kind: "ordered"; }>,
    machine: machines.Machine,
    now: number,
    longestMs: number,
): MachineStage {
    if (machine.inUpkeep) {
        return { ...stage, confirmedAt: stage.confirmedAt ?? now };
    }
    if (!machine.up) {
        return stage;
    }
    const isNextIncarnation = machine.workerName !== stage.workerName;
    if (stage.confirmedAt === undefined) {
        // The worker may have crashed before the order arrived: the order must not kill tasks of its new incarnation.
        return isNextIncarnation ? { kind: "draining", workerName: machine.workerName, since: now } : stage;
    }
    return isNextIncarnation || now - stage.confirmedAt > longestMs ? { kind: "done" } : stage;
}

/** Counts the machines of the wave that are down for upkeep, or are being drained or ordered down. */
export function countOutOfService(stages: ReadonlyMap<string, MachineStage>, present: PresentMachines): number {
    let count = 0;
    for (const [id, stage] of stages) {
        const isOutOfService = stage.kind === "draining" || stage.kind === "ordered" || present.get(id)?.inUpkeep;
        count += isOutOfService ? 1 : 0;
    }
    return count;
}

/** Returns whether every machine of the wave is done, or no longer part of the wave. */
export function isComplete(stages: ReadonlyMap<string, MachineStage>): boolean {
    return [...stages.values()].every(stage => stage.kind === "done" || stage.kind === "gone");
}
