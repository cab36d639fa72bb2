/**
 * Whether work of the tier `None` should start now, or wait because urgent or guaranteed work would stop it.
 *
 * The newest work loses least, so it is stopped first once urgent work needs more than what is free. The probability of
 * that is the share of the periods as long as the work's run, of the last minute, in which the urgent demand exceeded what
 * it is now plus what would remain free.
 */
import type * as work from "../work/index";
import * as arrivals from "./arrivals";

/** A start to decide on. Times are in milliseconds. */
export interface HeadroomInput {
    /** Expected run time. */
    readonly durationMs: number;
    readonly savesCheckpoints: boolean;
    /** How long the job can wait and still be in time. */
    readonly slackMs: number;
    /** Resources of the service that remain free after the start of all members. */
    readonly freeAfter: work.Resources;
    /** Urgent demand by `Forecast.getDemand`, the latest last. */
    readonly demand: readonly work.Resources[];
}

/** Why the work starts, or that it is deferred. */
export const HeadroomOutcome = {
    Deferred: "deferred",
    /** It is not likely to be stopped. */
    Unlikely: "unlikely",
    /** A stop loses almost nothing. */
    SavesCheckpoints: "savesCheckpoints",
    /** Its job would be late. */
    NoSlack: "noSlack",
    /** Too little has been observed. */
    NoForecast: "noForecast",
} as const;
export type HeadroomOutcome = typeof HeadroomOutcome[keyof typeof HeadroomOutcome];

export interface HeadroomDecision {
    readonly outcome: HeadroomOutcome;
    /** Probability that the work is stopped within its run; `undefined` if the outcome does not depend on it. */
    readonly probability?: number;
}

/** The work is deferred if it would more likely than not be stopped. */
const MAX_PROBABILITY = 0.5;
/** Part of its run time that a job keeps as slack: runs are up to 1.3 times as long as estimated. */
const RESERVED_SLACK_SHARE = 0.3;
/** Number of runs that have to be observed for a forecast. */
const MIN_OBSERVED_RUNS = 2;

/** Decides on one start. The wait is bounded: with less slack than `RESERVED_SLACK_SHARE` of a run, the work starts. */
export function decideHeadroom(input: HeadroomInput): HeadroomDecision {
    if (input.savesCheckpoints) {
        return { outcome: HeadroomOutcome.SavesCheckpoints };
    }
    if (!(input.slackMs < Infinity) || input.slackMs <= RESERVED_SLACK_SHARE * input.durationMs) {
        return { outcome: HeadroomOutcome.NoSlack };
    }
    const { demand, freeAfter } = input;
    const length = Math.max(1, Math.ceil(input.durationMs / arrivals.INTERVAL_MS));
    const current = demand.at(-1);
    if (!current || demand.length < MIN_OBSERVED_RUNS * length) {
        return { outcome: HeadroomOutcome.NoForecast };
    }
    const exceeds = (at: work.Resources) =>
        at.accelerators > current.accelerators + freeAfter.accelerators
        || at.cpuMillis > current.cpuMillis + freeAfter.cpuMillis
        || at.memoryMb > current.memoryMb + freeAfter.memoryMb;
    let periods = 0;
    let exceeding = 0;
    let lastExceeding = -Infinity;
    demand.forEach((at, index) => {
        lastExceeding = exceeds(at) ? index : lastExceeding;
        if (index >= length - 1) {
            periods++;
            exceeding += lastExceeding > index - length ? 1 : 0;
        }
    });
    const probability = exceeding / periods;
    return {
        outcome: probability > MAX_PROBABILITY ? HeadroomOutcome.Deferred : HeadroomOutcome.Unlikely,
        probability,
    };
}
