/** Where each machine of a wave is on its way, and what the platform's list of machines says of it. */
import type * as machines from "./machines";

export type MachineStage =
    | { readonly kind: "pending"; }
    /** Gets no new work, until nothing runs there. */
    | { readonly kind: "emptying"; readonly workerName: string; readonly since: number; }
    /** The order is stored, and may be under way; since `confirmedAt` the upkeep is known to have begun, or to be over. */
    | { readonly kind: "ordered"; readonly workerName: string; readonly confirmedAt: number | undefined; }
    | { readonly kind: "done"; }
    /** No longer the platform's, or not of this wave. */
    | { readonly kind: "gone"; };

export type MachineStages = Map<string, MachineStage>;
export type PresentMachines = ReadonlyMap<string, machines.Machine>;

/**
 * Takes note of machines that came back, or that are no longer there. A machine whose order was confirmed and that is
 * up for `longestMs` had its upkeep before: the order was a repetition.
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
                stages.set(id, noteOrdered(stage, machine, now, longestMs));
                break;
            case "emptying":
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

function noteOrdered(
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
    const isNewLife = machine.workerName !== stage.workerName;
    if (stage.confirmedAt === undefined) {
        // The worker may have crashed before the order arrived: what runs on its new life must not end by the order.
        return isNewLife ? { kind: "emptying", workerName: machine.workerName, since: now } : stage;
    }
    return isNewLife || now - stage.confirmedAt > longestMs ? { kind: "done" } : stage;
}

/** Machines of the wave that are down for their upkeep, or will be without a further decision. */
export function countOutOfService(stages: ReadonlyMap<string, MachineStage>, present: PresentMachines): number {
    let taken = 0;
    for (const [id, stage] of stages) {
        const isTaken = stage.kind === "emptying" || stage.kind === "ordered" || present.get(id)?.inUpkeep;
        taken += isTaken ? 1 : 0;
    }
    return taken;
}

export function isComplete(stages: ReadonlyMap<string, MachineStage>): boolean {
    return [...stages.values()].every(stage => stage.kind === "done" || stage.kind === "gone");
}
