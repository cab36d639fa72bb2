/** Numeric measures of one simulated deployment, by which policies are compared. */
import type * as simulationResult from "./simulationResult";
import * as summary from "./summary";
import * as worth from "./worth";

/** Descriptions of the measures. More is better, except for the last four. */
export const MEASURES = {
    overall:
        "weighted sum of the next five measures, with weights averaged over the users, less the price of thrown-away work",
    whole: "earned worth divided by the worth of all jobs",
    worstZone: "the same for the worst-served zone of callers",
    worstClass: "the same for the worst-served class",
    worstAccount: "the same for the worst-served client account",
    worstWindows: "the same for the two worst-served windows of 2 s, on average",
    thrownAway: "thrown-away core-seconds divided by the core-seconds of all jobs",
    fragmentation: "share of the free accelerators that are on partly used workers",
    stoppedRuns: "runs that ended early, per job",
    looks: "calls to workers, per job",
} as const;
export type Measure = keyof typeof MEASURES;
/** One value per measure. */
export type Measures = Readonly<Record<Measure, number>>;

/** The whole counts most, then the worst zone, as three groups of users weigh them; the sum is 1. */
const WEIGHTS = { whole: 0.42, worstZone: 0.24, worstClass: 0.14, worstAccount: 0.13, worstWindows: 0.07 } as const;
/** Price of a thrown-away core-second, in units of a job's worth: the highest that users name. */
const THROWN_AWAY_PRICE = 0.0021;
const WINDOW_MS = 2_000;
const WORST_WINDOWS = 2;
/** Groups with a smaller share of the jobs are ignored, since chance outweighs the policy there. */
const MIN_GROUP_SHARE = 0.05;

/** Computes all measures of a simulation. */
export function measure(simulated: simulationResult.SimulationResult): Measures {
    const summarised = summary.summarise(simulated);
    const jobs = Math.max(1, simulated.jobs.length);
    const parts = {
        whole: summarised.all.worth,
        worstZone: getWorstWorth(summarised.zones, jobs),
        worstClass: getWorstWorth(summarised.classes, jobs),
        worstAccount: getWorstWorth(summarised.accounts, jobs),
        worstWindows: getWorstWindowsWorth(simulated),
    };
    const thrownAwayCost = simulated.thrownAwayCoreSeconds * THROWN_AWAY_PRICE / Math.max(1, getOwedWorth(simulated));
    const weighted = (Object.keys(WEIGHTS) as Array<keyof typeof WEIGHTS>)
        .reduce((sum, part) => sum + WEIGHTS[part] * parts[part], 0);
    const workCoreSeconds = simulated.jobs.reduce((sum, job) => sum + job.planned.coreSeconds, 0);
    return {
        overall: weighted - thrownAwayCost,
        ...parts,
        thrownAway: simulated.thrownAwayCoreSeconds / Math.max(1, workCoreSeconds),
        fragmentation: summarised.fragmentation,
        stoppedRuns: simulated.stoppedRuns / jobs,
        looks: simulated.workerCalls / jobs,
    };
}

function getWorstWorth(groups: readonly summary.Group[], jobs: number): number {
    const largeGroups = groups.filter(group => group.asked - group.cancelled >= MIN_GROUP_SHARE * jobs);
    return Math.min(...(largeGroups.length > 0 ? largeGroups : groups).map(group => group.worth), 1);
}

function getWorstWindowsWorth(simulated: simulationResult.SimulationResult): number {
    const windows = summary.groupBy(simulated.jobs, job => String(Math.floor(job.planned.arrivesAt / WINDOW_MS)));
    const shares = windows.filter(group => group.asked > group.cancelled).map(group => group.worth);
    const worst = shares.sort((a, b) => a - b).slice(0, WORST_WINDOWS);
    return worst.length === 0 ? 1 : worst.reduce((sum, share) => sum + share, 0) / worst.length;
}

function getOwedWorth(simulated: simulationResult.SimulationResult): number {
    const planned = simulated.jobs.map(job => job.planned);
    const getWeight = worth.createWeights(planned);
    return planned.filter(job => job.cancelAfterMs === undefined)
        .reduce((sum, job) => sum + getWeight(job) * job.class.worth.inTime, 0);
}
