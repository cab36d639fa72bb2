/**
 * Random evacuations of availability zones: one or both at once, restored and evacuated again, with rows of unknown values
 * and followers that have to read the whole table again. They use a random source of their own, so that a seed gives the
 * same jobs and other faults with and without them.
 */
import type * as clock from "../clock/index";
import * as random from "../random/index";
import type * as sites from "./site";

/** Parameters of the evacuations. */
export interface EvacuationOptions {
    readonly seed: number;
    /** Time within which evacuations begin and end. */
    readonly durationMs: number;
    readonly clock: clock.Clock;
    readonly zones: readonly string[];
    readonly instances: readonly string[];
}

/** Evacuations of one site. */
export interface Evacuations {
    /** Source of the faults of reads of the operators' table. */
    readonly source: random.Random;
    /** Whether an instance cannot read the operators' table now, although it reaches the store. */
    isUnreadable(instance: string): boolean;
    /** What happens to the site, and at which time. */
    readonly events: ReadonlyArray<{ readonly at: number; act(site: sites.Site): void; }>;
}

/** Keeps the derived seeds apart from those of sites and of other random sources. */
const EVACUATION_SEED_OFFSET = 23_000_000;
const MAX_EVACUATIONS = 4;
const MAX_EVACUATED_MS = 12_000;
const FIRST_AT_MS = 500;
/** On average one evacuation in this many is followed by a gap in the history. */
const GAP_INTERVAL = 4;
const MAX_OUTAGES = 2;
const MAX_OUTAGE_MS = 12_000;

/** Creates the evacuations of a seed. The last event of each zone restores it. */
export function createEvacuations(options: EvacuationOptions): Evacuations {
    const { durationMs, zones, clock: time } = options;
    const source = random.createRandom(options.seed + EVACUATION_SEED_OFFSET);
    const outages = Array.from({ length: source.nextInt(MAX_OUTAGES + 1) }, () => {
        const from = source.nextInt(durationMs);
        return {
            from,
            to: Math.min(durationMs, from + source.nextInt(MAX_OUTAGE_MS)),
            instances: source.pick([options.instances, [source.pick(options.instances)]]),
        };
    });
    const events = Array.from({ length: source.nextInt(MAX_EVACUATIONS + 1) }, () => {
        const zone = source.pick(zones);
        const value = source.pick(["{}", "{}", "{}", "[", ""]);
        const at = FIRST_AT_MS + source.nextInt(durationMs - FIRST_AT_MS);
        const restoredAt = Math.min(durationMs, at + source.nextInt(MAX_EVACUATED_MS));
        const hasGap = source.nextInt(GAP_INTERVAL) === 0;
        return [
            {
                at,
                act: (site: sites.Site) => {
                    site.operators!.evacuate(zone, value);
                    if (hasGap) {
                        site.operators!.discardHistory();
                    }
                },
            },
            { at: restoredAt, act: (site: sites.Site) => site.operators!.restore(zone) },
        ];
    }).flat();
    const restoreAll = zones.map(zone => ({
        at: durationMs,
        act: (site: sites.Site) => site.operators!.restore(zone),
    }));
    return {
        source,
        isUnreadable: instance =>
            outages.some(({ from, to, instances }) =>
                time.now() >= from && time.now() < to && instances.includes(instance)
            ),
        events: [...events, ...restoreAll],
    };
}
