/** Renders a job report as text: service results by queue and entry instance, and the causes of delays. */
import * as jobReports from "./jobReport";

const SERVED_VALUES = Object.values(jobReports.Served);
const NAME_WIDTH = 24;
const COLUMN_WIDTH = 9;

/** Renders the report as tables, followed by one line for each job that was not in time. */
export function renderJobReport({ jobs, stops, thrownAway }: jobReports.JobReport): string {
    return [
        ...renderCounts("queue", groupBy(jobs, job => job.queue)),
        "",
        ...renderCounts("entry", groupBy(jobs, job => job.entry)),
        "",
        "main causes of delay of the jobs that were not in time, and the total time lost to each cause",
        ...renderCauses(jobs.filter(job => job.served !== jobReports.Served.InTime)),
        "",
        "preemptions for urgent work, by queue and result of the victim and of the urgent job",
        ...renderStops(stops),
        "",
        "work thrown away, by cause",
        ...renderThrownAway(thrownAway),
        "",
        "jobs that were not in time",
        ...jobs.filter(job => job.served !== jobReports.Served.InTime).sort((a, b) => a.sentAt - b.sentAt).map(
            renderJob,
        ),
    ].join("\n");
}

function renderCounts(
    title: string,
    groups: ReadonlyMap<string, readonly jobReports.JobSummary[]>,
): string[] {
    const header = [
        title.padEnd(NAME_WIDTH),
        "jobs".padStart(COLUMN_WIDTH),
        ...SERVED_VALUES.map(kind => kind.padStart(COLUMN_WIDTH)),
    ];
    const rows = [...groups].sort(([a], [b]) => a < b ? -1 : 1).map(([name, jobs]) => [
        name.padEnd(NAME_WIDTH),
        String(jobs.length).padStart(COLUMN_WIDTH),
        ...SERVED_VALUES.map(kind => String(jobs.filter(job => job.served === kind).length).padStart(COLUMN_WIDTH)),
    ]);
    return [header, ...rows].map(cells => cells.join(""));
}

function renderCauses(jobs: readonly jobReports.JobSummary[]): string[] {
    const causes = new Map<string, { jobs: number; coreSeconds: number; ms: number; }>();
    for (const job of jobs) {
        const main = getMainDelay(job);
        for (const [cause, ms] of Object.entries(job.delays)) {
            const entry = causes.get(cause) ?? { jobs: 0, coreSeconds: 0, ms: 0 };
            entry.jobs += cause === main ? 1 : 0;
            entry.coreSeconds += cause === main ? job.coreSeconds : 0;
            entry.ms += ms;
            causes.set(cause, entry);
        }
    }
    return [...causes].sort(([, a], [, b]) => b.jobs - a.jobs || b.ms - a.ms).map(([cause, entry]) =>
        `${cause.padEnd(NAME_WIDTH)}${String(entry.jobs).padStart(COLUMN_WIDTH)} jobs `
        + `${String(Math.round(entry.coreSeconds)).padStart(COLUMN_WIDTH)} core-seconds `
        + `${String(Math.round(entry.ms / 1_000)).padStart(COLUMN_WIDTH)} s`
    );
}

function getMainDelay(job: jobReports.JobSummary): string {
    return Object.entries(job.delays).reduce((a, b) => b[1] > a[1] ? b : a)[0];
}

function renderStops(stops: readonly jobReports.PreemptionRecord[]): string[] {
    const groups = groupBy(
        stops,
        stop => `${stop.victimQueue} (${stop.victimServed}) for ${stop.forQueue} (${stop.forServed})`,
    );
    return [...groups].sort(([, a], [, b]) => b.length - a.length).map(([name, group]) => {
        const loss = group.reduce((total, stop) => total + stop.lossCoreSeconds, 0);
        return `${String(group.length).padStart(COLUMN_WIDTH)} stops ${
            String(loss).padStart(COLUMN_WIDTH)
        } core-seconds  ${name}`;
    });
}

function renderThrownAway(thrownAway: Readonly<Record<string, number>>): string[] {
    const causes = Object.entries(thrownAway).sort(([, a], [, b]) => b - a);
    const total = causes.reduce((sum, [, coreSeconds]) => sum + coreSeconds, 0);
    return [["all", total] as const, ...causes].map(([cause, coreSeconds]) =>
        `${String(coreSeconds).padStart(COLUMN_WIDTH)} core-seconds  ${cause}`
    );
}

function renderJob(job: jobReports.JobSummary): string {
    const delays = Object.entries(job.delays).filter(([, ms]) => ms > 0).sort((a, b) => b[1] - a[1])
        .map(([cause, ms]) => `${cause} ${Math.round(ms)}`);
    return `${new Date(job.sentAt).toISOString()}  ${job.jobId}  ${job.queue}  ${job.served} (${job.state})  `
        + `${job.tookMs ?? "-"} of ${job.objectiveMs ?? "-"} ms, ${Math.round(job.coreSeconds)} core-seconds: `
        + delays.join(", ");
}

function groupBy<T>(items: readonly T[], getName: (item: T) => string): Map<string, T[]> {
    const groups = new Map<string, T[]>();
    for (const item of items) {
        const name = getName(item);
        groups.set(name, [...groups.get(name) ?? [], item]);
    }
    return groups;
}
