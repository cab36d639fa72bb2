/** Evacuations of availability zones by the operator: some at random times during the faults, and one after them. */
import type * as clock from "../src/clock/index";
import type * as random from "../src/random/index";
import * as sites from "./site";

/** An evacuation that was ordered during the run. */
export interface Evacuation {
    readonly zone: string;
    readonly from: number;
    /** `Infinity` while the zone is not restored. */
    to: number;
}

/** Orders evacuations and records them. */
export interface Evacuator {
    readonly evacuations: readonly Evacuation[];
    /** Evacuates zones at random times within the window, and restores them by its end. */
    runRandom(windowMs: number): void;
    /** Evacuates a zone and returns the function that restores it. */
    evacuate(zone: string): () => void;
}

const MAX_EVACUATIONS = 3;
const MIN_DURATION_MS = 2_000;
const MAX_DURATION_MS = 12_000;

export function createEvacuator(site: sites.Site, time: clock.Clock, source: random.Random): Evacuator {
    const evacuations: Evacuation[] = [];
    const evacuate = (zone: string) => {
        const evacuation = { zone, from: time.now(), to: Infinity };
        site.evacuate(zone);
        evacuations.push(evacuation);
        return () => {
            evacuation.to = time.now();
            const isEvacuatedAgain = evacuations.some(other => other.zone === zone && other.to === Infinity);
            if (!isEvacuatedAgain) {
                site.restore(zone);
            }
        };
    };
    return {
        evacuations,
        evacuate,
        runRandom: windowMs => {
            for (let count = source.nextInt(MAX_EVACUATIONS + 1); count > 0; count--) {
                const zone = source.pick(sites.ZONES);
                const startAfterMs = source.nextInt(windowMs - MIN_DURATION_MS);
                const durationMs = MIN_DURATION_MS + source.nextInt(MAX_DURATION_MS - MIN_DURATION_MS);
                time.setTimer(startAfterMs, () => {
                    const restore = evacuate(zone);
                    time.setTimer(Math.min(durationMs, windowMs - startAfterMs), restore);
                });
            }
        },
    };
}
