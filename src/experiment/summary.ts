/** Summarises how callers were served: by class, account and zone, and overall. */
import * as hdr from "hdr-histogram-js";
import type * as simulationResult from "./simulationResult";
import * as worth from "./worth";

/** Counts and times of a group of jobs. */
export interface Group {
    readonly name: string;
    /** All jobs of the group, cancelled ones included. */
    readonly asked: number;
    /** Jobs cancelled by their callers, and failed jobs that crash their workers; not counted below. */
    readonly cancelled: number;
    readonly inTime: number;
    readonly late: number;
    /** Done after more than `LATE_MULTIPLE` times the objective, not done, or failed though the job could succeed. */
    readonly missed: number;
    readonly refused: number;
    /** Earned worth divided by the worth of all jobs that were not cancelled, 0 to 1. */
    readonly worth: number;
    /** From arrival to first start. */
    readonly waitMs: Quantiles;
    /** From arrival to completion. */
    readonly completionMs: Quantiles;
}

/** Percentiles, in milliseconds. */
export interface Quantiles {
    readonly p50: number;
    readonly p99: number;
}

/** Summary of a simulation, as `--json` prints it. Means are over the samples. */
export interface Summary {
    readonly all: Group;
    readonly classes: readonly Group[];
    readonly accounts: readonly Group[];
    readonly zones: readonly Group[];
    readonly utilisation: number;
    readonly fragmentation: number;
    readonly thrownAwayCoreSeconds: number;
    readonly stoppedRuns: number;
    /** Descriptions of the scheduler's guarantees that were violated. */
    readonly breaches: readonly string[];
}

const MAX_RECORDED_MS = 3_600_000;

/** Summarises a simulation. */
export function summarise(simulated: simulationResult.SimulationResult): Summary {
    const { jobs, samples } = simulated;
    const mean = (values: readonly number[]) =>
        values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
    return {
        all: createGroup("all", jobs, jobs),
        classes: groupBy(jobs, job => job.planned.class.name),
        accounts: groupBy(jobs, job => job.planned.job.account),
        zones: groupBy(jobs, job => job.zone),
        utilisation: mean(samples.map(sample => sample.utilisation)),
        fragmentation: mean(samples.map(sample => sample.fragmentation)),
        thrownAwayCoreSeconds: simulated.thrownAwayCoreSeconds,
        stoppedRuns: simulated.stoppedRuns,
        breaches: simulated.violations,
    };
}

/** Groups the jobs by a name, sorted by it. Weights are relative to all given jobs. */
export function groupBy(
    jobs: readonly simulationResult.JobOutcome[],
    getName: (job: simulationResult.JobOutcome) => string,
): Group[] {
    return [...new Set(jobs.map(getName))].sort().map(name =>
        createGroup(name, jobs.filter(job => getName(job) === name), jobs)
    );
}

type ServiceOutcome = "inTime" | "late" | "missed" | "refused" | "cancelled";

function getServiceOutcome(job: simulationResult.JobOutcome): ServiceOutcome {
    if (!job.accepted) {
        return "refused";
    }
    const { planned, end } = job;
    if (planned.cancelAfterMs !== undefined && end?.state === "cancelled") {
        return "cancelled";
    }
    if (planned.crashesWorkers && end?.state === "failed") {
        return "cancelled";
    }
    if (!end || (end.state === "failed" && !planned.poisoned)) {
        return "missed";
    }
    if (end.afterMs <= planned.objectiveMs) {
        return "inTime";
    }
    return end.afterMs <= worth.LATE_MULTIPLE * planned.objectiveMs ? "late" : "missed";
}

function createGroup(
    name: string,
    jobs: readonly simulationResult.JobOutcome[],
    all: readonly simulationResult.JobOutcome[],
): Group {
    const counts: Record<ServiceOutcome, number> = { inTime: 0, late: 0, missed: 0, refused: 0, cancelled: 0 };
    const getWeight = worth.createWeights(all.map(job => job.planned));
    let earned = 0;
    let owed = 0;
    for (const job of jobs) {
        const outcome = getServiceOutcome(job);
        counts[outcome]++;
        if (outcome === "cancelled") {
            continue;
        }
        const { class: jobClass } = job.planned;
        const weight = getWeight(job.planned);
        owed += weight * jobClass.worth.inTime;
        earned += weight
            * (outcome === "inTime" ? jobClass.worth.inTime : outcome === "late" ? jobClass.worth.late : 0);
    }
    return {
        name,
        asked: jobs.length,
        ...counts,
        worth: owed > 0 ? earned / owed : 1,
        waitMs: getQuantiles(jobs.flatMap(job => job.firstStartMs ?? [])),
        completionMs: getQuantiles(jobs.flatMap(job => job.end?.state === "completed" ? job.end.afterMs : [])),
    };
}

function getQuantiles(values: readonly number[]): Quantiles {
    const histogram = hdr.build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_RECORDED_MS,
        useWebAssembly: false,
    });
    values.forEach(value => histogram.recordValue(Math.max(0, Math.round(value))));
    return { p50: histogram.getValueAtPercentile(50), p99: histogram.getValueAtPercentile(99) };
}
