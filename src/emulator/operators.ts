/** The operators' table of an emulated site, through which zones are evacuated and which each instance follows. */
import type * as clock from "../clock/index";
import * as evacuation from "../evacuation/index";
import type * as observe from "../observe/index";
import * as rows from "../rows/index";
import type * as freezers from "./freezer";
import * as stores from "./store";

/** Configuration of the table. */
export interface OperatorsOptions {
    readonly clock: clock.Clock;
    readonly latencyMs: number;
    /** Faults of the instances' reads. */
    readonly faults?: stores.StoreFaults;
    /** Maximum time from an evacuation until nothing starts in the zone. */
    readonly evacuationMs: number;
}

/** An instance that follows the table. */
export interface Follower {
    readonly name: string;
    readonly freezer: freezers.Freezer;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    readonly signal: AbortSignal;
}

/** Operators that evacuate and restore zones. */
export interface Operators {
    /** Evacuates the zone; `value` is that of its row. */
    evacuate(zone: string, value?: string): void;
    restore(zone: string): void;
    /** Discards the history, so that followers read the whole table again. */
    discardHistory(): void;
    /** Whether no start sent at `sentAt` may be carried out in the zone now. */
    isClosed(zone: string, sentAt: number): boolean;
    /** Opens the evacuations as the instance knows them. */
    follow(follower: Follower): evacuation.Evacuations;
}

const TABLE = "operators";
const EVACUATION_KEY = /^evacuated\/(.+)$/;

/** Creates an empty table. */
export function createOperators(options: OperatorsOptions): Operators {
    const { clock: time, evacuationMs } = options;
    const store = stores.createEmulatedStore(options);
    const evacuatedAt = new Map<string, number>();
    const getKey = (zone: string) => ({ table: TABLE, part: "", key: `evacuated/${zone}` });
    return {
        evacuate: (zone, value = "{}") => {
            store.put({ ...getKey(zone), value });
            if (!evacuatedAt.has(zone)) {
                evacuatedAt.set(zone, time.now());
            }
        },
        restore: zone => {
            store.remove(getKey(zone));
            evacuatedAt.delete(zone);
        },
        discardHistory: store.discardHistory,
        isClosed: (zone, sentAt) => sentAt - (evacuatedAt.get(zone) ?? Infinity) > evacuationMs,
        follow: ({ name, freezer, log, meter, signal }) => {
            const evacuations = evacuation.createEvacuations({
                log,
                meter,
                signal,
                getZone: key => EVACUATION_KEY.exec(key)?.[1],
                isValidValue: value => value === "{}",
                getAgeMs: () => follower.getAgeMs(),
                getMaxAgeMs: () => evacuationMs,
            });
            const follower = rows.followTable({
                store: freezer.wrapStore(store.open(name)),
                clock: freezer.clock,
                log,
                meter,
                table: TABLE,
                part: "",
                signal,
                onSnapshot: evacuations.applySnapshot,
                onChanges: evacuations.applyChanges,
            });
            return evacuations;
        },
    };
}
