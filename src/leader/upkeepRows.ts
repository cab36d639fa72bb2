/**
 * Which machines of a wave were ordered down, as it is stored before the order goes out.
 *
 * What goes wrong when it is stored after the order: the leader dies in between, or an order without an answer is
 * carried out seconds later. The successor knows nothing of that machine and takes down as many others as the wave
 * allows. One notices more machines down than allowed.
 */
import type * as rows from "../rows/index";
import * as work from "../work/index";
import type * as heldLease from "./heldLease";
import type * as stagesOfWave from "./upkeepStages";

export interface UpkeepRows {
    readonly store: rows.RowStore;
    readonly leadership: heldLease.Leadership;
    readonly timeoutMs: number;
}

type OrderedMachines = Readonly<Record<string, { readonly worker: string; readonly confirmed: boolean; }>>;

const TABLE = "upkeep";
/** Stands for the worker of a machine whose upkeep is over: any present life is a later one. */
const EARLIER_LIFE = "";

/** The stages as the latest leader stored them; `undefined` when they cannot be read now. */
export async function readStages(
    options: UpkeepRows,
    wave: number,
    machineIds: readonly string[],
    now: number,
): Promise<stagesOfWave.Stages | undefined> {
    const key = String(wave);
    const result = await options.store.read(
        { table: TABLE, part: work.LEADER_PART, from: key, before: `${key}!`, limit: 1 },
        options.timeoutMs,
    );
    if (result.kind !== "read") {
        return undefined;
    }
    const ordered = result.rows[0] ? JSON.parse(result.rows[0].value) as OrderedMachines : {};
    return new Map(machineIds.map((id): [string, stagesOfWave.Stage] => {
        const stored = ordered[id];
        if (!stored) {
            return [id, { kind: "pending" }];
        }
        const confirmedAt = stored.confirmed ? now : undefined;
        return [id, { kind: "ordered", workerId: stored.worker, confirmedAt }];
    }));
}

/** Whether the stages are stored now. */
export async function writeStages(
    options: UpkeepRows,
    wave: number,
    stages: ReadonlyMap<string, stagesOfWave.Stage>,
): Promise<boolean> {
    const ordered: Record<string, { worker: string; confirmed: boolean; }> = {};
    for (const [id, stage] of stages) {
        if (stage.kind === "ordered") {
            ordered[id] = { worker: stage.workerId, confirmed: stage.confirmedAt !== undefined };
        }
        else if (stage.kind === "done") {
            ordered[id] = { worker: EARLIER_LIFE, confirmed: true };
        }
    }
    const outcome = await options.store.transact({
        conditions: [options.leadership.guard],
        puts: [{ table: TABLE, part: work.LEADER_PART, key: String(wave), value: JSON.stringify(ordered) }],
        removals: [],
    }, options.timeoutMs);
    return outcome.kind === "committed";
}
