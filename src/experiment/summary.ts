/** What callers got: by class, account and zone, and in all. */
import * as hdr from "hdr-histogram-js";
import type * as outcomes from "./simulationResult";
import * as worth from "./worth";

export interface Group {
    readonly name: string;
    readonly asked: number;
    /** Cancelled by their callers; not counted below. */
    readonly cancelled: number;
    readonly inTime: number;
    readonly late: number;
    /** After three times the objective, or not at all. */
    readonly missed: number;
    readonly refused: number;
    /** Worth earned over worth owed, 0 to 1. */
    readonly worth: number;
    readonly waitMs: Quantiles;
    readonly completionMs: Quantiles;
}

export interface Quantiles {
    readonly p50: number;
    readonly p99: number;
}

export interface Summary {
    readonly all: Group;
    readonly classes: readonly Group[];
    readonly accounts: readonly Group[];
    readonly zones: readonly Group[];
    readonly utilisation: number;
    readonly fragmentation: number;
    readonly thrownAwayCoreSeconds: number;
    readonly stoppedRuns: number;
    readonly breaches: readonly string[];
}

const HOUR_MS = 3_600_000;

export function summarise(played: outcomes.SimulationResult): Summary {
    const { jobs, samples } = played;
    const mean = (values: readonly number[]) =>
        values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
    return {
        all: createGroup("all", jobs, jobs),
        classes: groupBy(jobs, job => job.planned.class.name),
        accounts: groupBy(jobs, job => job.planned.job.account),
        zones: groupBy(jobs, job => job.zone),
        utilisation: mean(samples.map(sample => sample.utilisation)),
        fragmentation: mean(samples.map(sample => sample.fragmentation)),
        thrownAwayCoreSeconds: played.thrownAwayCoreSeconds,
        stoppedRuns: played.stoppedRuns,
        breaches: played.breaches,
    };
}

export function groupBy(jobs: readonly outcomes.JobOutcome[], getName: (job: outcomes.JobOutcome) => string): Group[] {
    return [...new Set(jobs.map(getName))].sort().map(name =>
        createGroup(name, jobs.filter(job => getName(job) === name), jobs)
    );
}

type Served = "inTime" | "late" | "missed" | "refused" | "cancelled";

function getServed(job: outcomes.JobOutcome): Served {
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

function createGroup(name: string, jobs: readonly outcomes.JobOutcome[], all: readonly outcomes.JobOutcome[]): Group {
    const counts: Record<Served, number> = { inTime: 0, late: 0, missed: 0, refused: 0, cancelled: 0 };
    const getWeight = worth.createWeights(all.map(job => job.planned));
    let earned = 0;
    let owed = 0;
    for (const job of jobs) {
        const served = getServed(job);
        counts[served]++;
        if (served === "cancelled") {
            continue;
        }
        const { class: item } = job.planned;
        const weight = getWeight(job.planned);
        owed += weight * item.worth.inTime;
        earned += weight * (served === "inTime" ? item.worth.inTime : served === "late" ? item.worth.late : 0);
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
    const histogram = hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: HOUR_MS, useWebAssembly: false });
    values.forEach(value => histogram.recordValue(Math.max(0, Math.round(value))));
    return { p50: histogram.getValueAtPercentile(50), p99: histogram.getValueAtPercentile(99) };
}
