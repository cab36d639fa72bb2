/**
 * Contention of a run: workers that are slow by nature, groups of workers that leave at short notice, and stored measured
 * state that is damaged. It has a random source of its own, so that it doesn't change a seed's other faults.
 */
import type * as random from "../src/random/index";
import type * as faultInjection from "./faultInjection";

const MAX_DEPARTURES = 2;
const MAX_DAMAGED_STATES = 2;
/** Time between the notice and the departure; the directory reports a little less. */
const NOTICE_MS = { minMs: 1_500, maxMs: 2_500 };
/** Slowdown of the slowest workers: how many times as long a site may need to end its jobs. */
export const MAX_SLOWDOWN = 2.2;
/** How many times as long tasks take on a worker of each kind. */
const SLOWDOWNS: readonly number[] = [1, 1, 1, MAX_SLOWDOWN];

/** Departures of groups of workers, and damage to the stored measured state. */
export function createContention(
    source: random.Random,
    { workers, windowMs }: faultInjection.FaultScheduleOptions,
): faultInjection.ScheduledFault[] {
    const departures = Array.from({ length: source.nextInt(MAX_DEPARTURES + 1) }, () => {
        const startAfterMs = source.nextInt(windowMs - NOTICE_MS.maxMs);
        const durationMs = NOTICE_MS.minMs + source.nextInt(NOTICE_MS.maxMs - NOTICE_MS.minMs);
        const group = new Set(Array.from({ length: Math.ceil(workers / 4) }, () => source.nextInt(workers)));
        return [...group].map((target): faultInjection.ScheduledFault => ({
            startAfterMs,
            durationMs,
            fault: { kind: "drain", target },
        }));
    });
    const damages = Array.from(
        { length: source.nextInt(MAX_DAMAGED_STATES + 1) },
        (): faultInjection.ScheduledFault => ({
            startAfterMs: source.nextInt(windowMs - 1_000),
            durationMs: 0,
            fault: { kind: "damageLearnedState", value: source.pick(["", "{", "{\"at\":0,\"text\":\"[]\"}"]) },
        }),
    );
    return [...departures.flat(), ...damages];
}

/** The natural slowdown of each worker host. */
export function drawSlowdowns(source: random.Random, workers: number): readonly number[] {
    return Array.from({ length: workers }, () => source.pick(SLOWDOWNS));
}
