/**
 * Stores which machines of a wave were ordered down, before each order is sent.
 *
 * If it were stored after the order, the leader could fail in between, or an unanswered order could be executed seconds
 * later. The successor would not know of that machine, and more machines than allowed would be down.
 */
import * as rows from "../../rows/index";
import * as work from "../../work/index";
import type * as leases from "../lease/index";
import type * as upkeepStages from "./upkeepStages";

export interface UpkeepRowsOptions {
    readonly store: rows.RowStore;
    readonly leadership: leases.Leadership;
    readonly timeoutMs: number;
}

type OrderedMachines = Readonly<Record<string, { readonly worker: string; readonly confirmed: boolean; }>>;

const TABLE = "upkeep";
/**
 * A machine takes 56 bytes, and the store refuses rows of more than 49,152 bytes before base64: with all orders in one
 * row, a wave of more than 877 machines could not proceed. 200 machines take 11 kB, which allows for longer names;
 * the 99 rows that fit into a transaction beside its guard hold 19,800 machines.
 */
const MACHINES_PER_ROW = 200;
/** Stored as the worker of a machine whose upkeep is done: any worker on the machine is a later incarnation. */
const EARLIER_INCARNATION = "";

/** Reads the stages as the last leader stored them; `undefined` if they cannot be read now. */
export async function readStages(
    options: UpkeepRowsOptions,
    wave: number,
    machineIds: readonly string[],
    now: number,
): Promise<upkeepStages.MachineStages | undefined> {
    const result = await rows.readAll(options.store, getRange(wave), options.timeoutMs, rows.MAX_ANSWER_MS);
    if (result.kind !== "read") {
        return undefined;
    }
    const ordered: OrderedMachines = Object.assign(
        {},
        ...result.rows.map(row => JSON.parse(row.value) as OrderedMachines),
    );
    return new Map(machineIds.map((id): [string, upkeepStages.MachineStage] => {
        const stored = ordered[id];
        if (!stored) {
            return [id, { kind: "pending" }];
        }
        const confirmedAt = stored.confirmed ? now : undefined;
        return [id, { kind: "ordered", workerName: stored.worker, confirmedAt }];
    }));
}

/**
 * Writes the stages; returns whether they are stored. They must be in the order of the wave's machines, which is fixed.
 */
export async function writeStages(
    options: UpkeepRowsOptions,
    wave: number,
    stages: ReadonlyMap<string, upkeepStages.MachineStage>,
): Promise<boolean> {
    const entries = [...stages];
    const puts: rows.RowPut[] = [];
    for (let first = 0; first < entries.length; first += MACHINES_PER_ROW) {
        // Written even without an order in it, to replace a stored order that is no longer valid.
        const value = JSON.stringify(getOrderedMachines(entries.slice(first, first + MACHINES_PER_ROW)));
        puts.push({ table: TABLE, part: work.LEADER_PART, key: getKey(wave, first / MACHINES_PER_ROW), value });
    }
    const outcome = await options.leadership.transact(options.store, { puts }, options.timeoutMs);
    return outcome.kind === "committed";
}

function getOrderedMachines(entries: ReadonlyArray<readonly [string, upkeepStages.MachineStage]>): OrderedMachines {
    const ordered: Record<string, { worker: string; confirmed: boolean; }> = {};
    for (const [id, stage] of entries) {
        if (stage.kind === "ordered") {
            ordered[id] = { worker: stage.workerName, confirmed: stage.confirmedAt !== undefined };
        }
        else if (stage.kind === "done") {
            ordered[id] = { worker: EARLIER_INCARNATION, confirmed: true };
        }
    }
    return ordered;
}

/** Returns the key of a row: `N`, `N.1`, `N.2` and so on. */
function getKey(wave: number, row: number): string {
    return row === 0 ? String(wave) : `${wave}.${row}`;
}

/** In the order of keys, `/` sorts after `.` and before all digits. */
function getRange(wave: number): rows.RowRange {
    return { table: TABLE, part: work.LEADER_PART, from: String(wave), before: `${wave}/` };
}
