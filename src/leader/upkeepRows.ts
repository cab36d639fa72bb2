/**
 * Which machines of a wave were ordered down, as it is stored before the order goes out.
 *
 * What goes wrong when it is stored after the order: the leader dies in between, or an order without an answer is
 * carried out seconds later. The successor knows nothing of that machine and takes down as many others as the wave
 * allows. One notices more machines down than allowed.
 */
import * as rows from "../rows/index";
import * as work from "../work/index";
import type * as heldLease from "./heldLease";
import type * as stagesOfWave from "./upkeepStages";

export interface UpkeepRowsOptions {
    readonly store: rows.RowStore;
    readonly leadership: heldLease.Leadership;
    readonly timeoutMs: number;
}

type OrderedMachines = Readonly<Record<string, { readonly worker: string; readonly confirmed: boolean; }>>;

const TABLE = "upkeep";
/**
 * With all orders of a wave in one row, a wave of more than 877 machines stands still: 56 bytes each, and the store
 * refuses a row of more than 49,152 bytes before it is encoded. So many take 11 kB, which leaves room for longer names;
 * the 99 rows that a transaction has room for beside its guard hold 19,800 machines.
 */
const MACHINES_PER_ROW = 200;
/** Stands for the worker of a machine whose upkeep is over: any present life is a later one. */
const EARLIER_LIFE = "";

/** The stages as the latest leader stored them; `undefined` when they cannot be read now. */
export async function readStages(
    options: UpkeepRowsOptions,
    wave: number,
    machineIds: readonly string[],
    now: number,
): Promise<stagesOfWave.MachineStages | undefined> {
    const result = await rows.readAll(options.store, getRange(wave), options.timeoutMs, rows.MAX_ANSWER_MS);
    if (result.kind !== "read") {
        return undefined;
    }
    const ordered: OrderedMachines = Object.assign(
        {},
        ...result.rows.map(row => JSON.parse(row.value) as OrderedMachines),
    );
    return new Map(machineIds.map((id): [string, stagesOfWave.MachineStage] => {
        const stored = ordered[id];
        if (!stored) {
            return [id, { kind: "pending" }];
        }
        const confirmedAt = stored.confirmed ? now : undefined;
        return [id, { kind: "ordered", workerName: stored.worker, confirmedAt }];
    }));
}

/** Whether the stages are stored now. They have to be in the order of the wave's machines, which never changes. */
export async function writeStages(
    options: UpkeepRowsOptions,
    wave: number,
    stages: ReadonlyMap<string, stagesOfWave.MachineStage>,
): Promise<boolean> {
    const entries = [...stages];
    const puts: rows.RowPut[] = [];
    for (let first = 0; first < entries.length; first += MACHINES_PER_ROW) {
        // Also without an order in it: one may have been stored there that holds no longer.
        const value = JSON.stringify(toOrdered(entries.slice(first, first + MACHINES_PER_ROW)));
        puts.push({ table: TABLE, part: work.LEADER_PART, key: getKey(wave, first / MACHINES_PER_ROW), value });
    }
    const outcome = await options.leadership.transact(options.store, { puts }, options.timeoutMs);
    return outcome.kind === "committed";
}

function toOrdered(entries: ReadonlyArray<readonly [string, stagesOfWave.MachineStage]>): OrderedMachines {
    const ordered: Record<string, { worker: string; confirmed: boolean; }> = {};
    for (const [id, stage] of entries) {
        if (stage.kind === "ordered") {
            ordered[id] = { worker: stage.workerName, confirmed: stage.confirmedAt !== undefined };
        }
        else if (stage.kind === "done") {
            ordered[id] = { worker: EARLIER_LIFE, confirmed: true };
        }
    }
    return ordered;
}

/** `N`, `N.1`, `N.2` and so on. */
function getKey(wave: number, row: number): string {
    return row === 0 ? String(wave) : `${wave}.${row}`;
}

/** `/` follows the point in the order of keys, and precedes all digits. */
function getRange(wave: number): rows.RowRange {
    return { table: TABLE, part: work.LEADER_PART, from: String(wave), before: `${wave}/` };
}
