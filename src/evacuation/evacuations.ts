/**
 * The availability zones that operators have evacuated, as this instance knows them.
 *
 * A zone is evacuated while its row exists. The row's key names the zone, so that a row with an unknown value still
 * evacuates it: a start in an evacuated zone is worse than one that waits.
 */
import type * as observe from "../observe/index";
import type * as rows from "../rows/index";

/** An evacuated zone. */
export interface Evacuation {
    readonly zone: string;
    /** Version of its row. */
    readonly version: number;
}

/** Ports and settings of the evacuations. */
export interface EvacuationsOptions {
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    readonly signal: AbortSignal;
    /** Returns the zone that a row of the operators' table evacuates; `undefined` for other rows. */
    getZone(key: string): string | undefined;
    /** Whether the row's value is one that operators write. */
    isValidValue(value: string): boolean;
    /** Milliseconds since the operators' table was certainly current; `Infinity` before the first read. */
    getAgeMs(): number;
    /** Maximum time from the confirmation of an evacuation until nothing starts in the zone; `Infinity` without one. */
    getMaxAgeMs(): number;
}

/** The evacuated zones; updated by the reads of the operators' table. */
export interface Evacuations {
    /** Replaces what is known by all rows of the table. */
    applySnapshot(all: readonly rows.Row[]): void;
    applyChanges(changes: readonly rows.RowChange[]): void;
    /**
     * Whether a start that takes effect up to `delayMs` from now is allowed in the zone. Nowhere if an evacuation that
     * this instance has not read yet could be due by then.
     */
    mayStartIn(zone: string, delayMs: number): boolean;
    isEvacuated(zone: string): boolean;
    list(): readonly Evacuation[];
    getAgeMs(): number;
}

/** Creates the evacuations without any zone, and registers their gauge until the signal is aborted. */
export function createEvacuations(options: EvacuationsOptions): Evacuations {
    const { log, meter } = options;
    const versions = new Map<string, number>();
    const getAgeMs = () => Math.round(options.getAgeMs());

    const evacuate = ({ value, version }: rows.Row, zone: string) => {
        if (versions.get(zone) === version) {
            return;
        }
        if (!options.isValidValue(value)) {
            log.error("evacuationUnreadable", { zone, row: version });
            meter.increment("entries_unusable_total", { kind: "evacuation" });
        }
        if (!versions.has(zone)) {
            log.info("zoneEvacuated", { zone, row: version, ageMs: getAgeMs() });
        }
        versions.set(zone, version);
    };
    const restore = (zone: string) => {
        if (versions.delete(zone)) {
            log.info("zoneRestored", { zone, ageMs: getAgeMs() });
        }
    };
    const unregisterGauge = meter.registerGauges(() => [{ metric: "evacuated_zones", value: versions.size }]);
    options.signal.addEventListener("abort", unregisterGauge, { once: true });
    return {
        applySnapshot: all => {
            const evacuated = all.flatMap(row => {
                const zone = options.getZone(row.key);
                return zone === undefined ? [] : [{ row, zone }];
            });
            const zones = new Set(evacuated.map(({ zone }) => zone));
            [...versions.keys()].filter(zone => !zones.has(zone)).forEach(restore);
            evacuated.forEach(({ row, zone }) => evacuate(row, zone));
        },
        applyChanges: changes => {
            for (const row of changes) {
                const zone = options.getZone(row.key);
                if (zone === undefined) {
                    continue;
                }
                if (row.removed) {
                    restore(zone);
                }
                else {
                    evacuate(row, zone);
                }
            }
        },
        mayStartIn: (zone, delayMs) => !versions.has(zone) && options.getAgeMs() + delayMs <= options.getMaxAgeMs(),
        isEvacuated: zone => versions.has(zone),
        list: () => [...versions].map(([zone, version]) => ({ zone, version })),
        getAgeMs: options.getAgeMs,
    };
}
