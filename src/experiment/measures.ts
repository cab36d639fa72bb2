/** The measures by which two versions are compared on one deployment, each a number. */
import type * as outcomes from "./simulationResult";
import * as summary from "./summary";
import * as worth from "./worth";

/** What each measure says. Of all but the last four more is better. */
export const MEASURES = {
    overall: "the parts below as the users weigh them on the average, less the work thrown away",
    whole: "worth earned of the worth owed",
    worstZone: "the same for the zone of callers that got least",
    worstClass: "the same for the class that got least",
    worstAccount: "the same for the client account that got least",
    worstWindows: "the same for the two windows of 2 s that got least",
    thrownAway: "core-seconds of work thrown away, of those that all jobs take",
    fragmentation: "share of the free accelerators on workers that are not free as a whole",
    stoppedRuns: "runs that ended early, for each job",
    looks: "calls to workers, for each job",
} as const;
export type Measure = keyof typeof MEASURES;
export type Measures = Readonly<Record<Measure, number>>;

/** Chosen: the whole counts most, then the zone, as three groups of users weigh them; their sum is one. */
const WEIGHTS = { whole: 0.42, worstZone: 0.24, worstClass: 0.14, worstAccount: 0.13, worstWindows: 0.07 } as const;
/** A core-second of thrown away work, beside the worth of a job: the highest that users name. */
const THROWN_AWAY_PRICE = 0.0021;
const WINDOW_MS = 2_000;
const WORST_WINDOWS = 2;
/** A group with less of the jobs says more of luck than of a policy. */
const LEAST_SHARE = 0.05;

export function measure(played: outcomes.SimulationResult): Measures {
    const told = summary.summarise(played);
    const jobs = Math.max(1, played.jobs.length);
    const parts = {
        whole: told.all.worth,
        worstZone: getWorst(told.zones, jobs),
        worstClass: getWorst(told.classes, jobs),
        worstAccount: getWorst(told.accounts, jobs),
        worstWindows: getWorstWindows(played),
    };
    const priced = played.thrownAwayCoreSeconds * THROWN_AWAY_PRICE / Math.max(1, getOwed(played));
    const weighed = (Object.keys(WEIGHTS) as Array<keyof typeof WEIGHTS>)
        .reduce((sum, part) => sum + WEIGHTS[part] * parts[part], 0);
    const work = played.jobs.reduce((sum, job) => sum + job.planned.coreSeconds, 0);
    return {
        overall: weighed - priced,
        ...parts,
        thrownAway: played.thrownAwayCoreSeconds / Math.max(1, work),
        fragmentation: told.fragmentation,
        stoppedRuns: played.stoppedRuns / jobs,
        looks: played.workerCalls / jobs,
    };
}

function getWorst(groups: readonly summary.Group[], jobs: number): number {
    const counted = groups.filter(group => group.asked - group.cancelled >= LEAST_SHARE * jobs);
    return Math.min(...(counted.length > 0 ? counted : groups).map(group => group.worth), 1);
}

function getWorstWindows(played: outcomes.SimulationResult): number {
    const windows = summary.groupBy(played.jobs, job => String(Math.floor(job.planned.arrivesAt / WINDOW_MS)));
    const shares = windows.filter(group => group.asked > group.cancelled).map(group => group.worth);
    const worst = shares.sort((a, b) => a - b).slice(0, WORST_WINDOWS);
    return worst.length === 0 ? 1 : worst.reduce((sum, share) => sum + share, 0) / worst.length;
}

function getOwed(played: outcomes.SimulationResult): number {
    const planned = played.jobs.map(job => job.planned);
    const getWeight = worth.createWeights(planned);
    return planned.filter(job => job.cancelAfterMs === undefined)
        .reduce((sum, job) => sum + getWeight(job) * job.class.worth.inTime, 0);
}
