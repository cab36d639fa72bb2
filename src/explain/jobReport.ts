/**
 * Report on all jobs in the log lines: the outcome of each, and what delayed it between its first submission and its end.
 *
 * The delay of a step is that of the unit whose waits and lost runs took longest, since the step ends with it; the delays
 * of a job's steps are added. The remaining time of a job is that of runs that completed their work.
 */
import type * as logLine from "./logLine";
import * as runEnds from "./runEnds";

/** How a job was served in relation to its objective. The values are output by `--json`. */
export const Served = { InTime: "inTime", Late: "late", Missed: "missed", Refused: "refused", Open: "open" } as const;
export type Served = typeof Served[keyof typeof Served];

/**
 * Time beyond the expected duration of the work, in milliseconds by cause: `entry` until the job was accepted, `place`
 * until its units were placed, or `placeWithoutZone` if a zone was evacuated then, `placeForSpeed` if it waited for
 * workers that are fast enough, `placeReserved` if workers were reserved for it, `placeDeferred` if its start was deferred
 * for urgent work, the reason for which a run was lost, or `longRun` for the excess of the last runs over
 * their expected duration, on slow workers, on another rack than their data or because of a wrong estimate.
 */
export type Delays = Readonly<Record<string, number>>;

/** Summary of one job. Its keys are output by `--json`. */
export interface JobSummary {
    readonly jobId: string;
    readonly queue: string;
    readonly account: string;
    /** Instance to which it was submitted first. */
    readonly entry: string;
    /** Time of the first submission, in milliseconds since 1970. */
    readonly sentAt: number;
    /** Number of submissions until it was accepted. */
    readonly sends: number;
    readonly served: Served;
    /** Final state; for other jobs the reason of the last refusal, or `open`. */
    readonly state: string;
    /** Time from the first submission to the end. */
    readonly tookMs: number | undefined;
    readonly objectiveMs: number | undefined;
    /** Amount of work; an accelerator counts as eight cores. */
    readonly coreSeconds: number;
    readonly delays: Delays;
}

/** A stop of running work for urgent work, and how both jobs were served. */
export interface PreemptionRecord {
    readonly victimQueue: string;
    readonly victimServed: Served;
    readonly forQueue: string;
    readonly forServed: Served;
    readonly lossCoreSeconds: number;
}

/** Report on all jobs. Its keys are output by `--json`. */
export interface JobReport {
    readonly jobs: readonly JobSummary[];
    readonly stops: readonly PreemptionRecord[];
    /** Thrown-away work of all terms in core-seconds, by cause. */
    readonly thrownAway: Readonly<Record<string, number>>;
}

/** A job is late, and not missed, up to this multiple of its objective: it still earns partial credit. */
const MAX_LATE_FACTOR = 3;

interface Unit {
    readonly delays: Map<string, number>;
    /** Duration of the longest run that ended early since the unit was last placed. */
    lostMs: number;
    /** Reason for which the first of these runs ended. */
    lostReason: string | undefined;
    /** Why the unit waits for its place, if a decision said so since it was last placed. */
    waitCause: string | undefined;
}

/** What the lines processed so far contain of one job. */
interface JobRecord {
    queue: string;
    account: string;
    entry: string;
    sentAt: number;
    acceptedAt: number | undefined;
    sends: number;
    /** Reason of the last refusal. */
    reason: string | undefined;
    /** Units by step and by name; the unit of a gang has the name of its first member. */
    readonly steps: Map<string, Map<string, Unit>>;
    /** The line that reports the end. */
    ended: logLine.LogLine | undefined;
}

/** Creates the report. Cancelled jobs are omitted, since nobody waits for them. */
export function createJobReport(lines: readonly logLine.LogLine[]): JobReport {
    const records = new Map<string, JobRecord>();
    const preemptions: logLine.LogLine[] = [];
    const thrownAwayByTerm = new Map<unknown, Readonly<Record<string, number>>>();
    for (const line of [...lines].sort((a, b) => Date.parse(a.time) - Date.parse(b.time))) {
        if (line.event === "preempting") {
            preemptions.push(line);
        }
        if (line.event === "workThrownAway") {
            // Each line has the totals of its term so far, so the last one counts.
            thrownAwayByTerm.set(line.fields["token"], line.fields["coreSeconds"] as Readonly<Record<string, number>>);
        }
        processLine(records, line);
    }
    const jobs = [...records].filter(([, record]) => record.ended?.fields["state"] !== "cancelled")
        .map(([jobId, record]) => createSummary(jobId, record));
    const byId = new Map(jobs.map(job => [job.jobId, job]));
    return {
        jobs,
        thrownAway: sumByCause(thrownAwayByTerm.values()),
        stops: preemptions.flatMap(line => {
            const victim = byId.get(getJobId(line.fields["group"]));
            const beneficiary = byId.get(getJobId(line.fields["forUnit"]));
            return victim && beneficiary
                ? [{
                    victimQueue: victim.queue,
                    victimServed: victim.served,
                    forQueue: beneficiary.queue,
                    forServed: beneficiary.served,
                    lossCoreSeconds: Number(line.fields["lossCoreSeconds"]),
                }]
                : [];
        }),
    };
}

function processLine(records: Map<string, JobRecord>, line: logLine.LogLine): void {
    const { fields } = line;
    switch (line.event) {
        case "request":
            if (fields["call"] === "submit") {
                processSubmission(records, line);
            }
            break;
        case "placed": {
            const unit = findUnit(records, fields["unit"], true);
            if (unit) {
                const reason = unit.lostReason ?? getPlacementReason(fields, unit.waitCause);
                addDelay(unit, reason, Number(fields["waitedMs"]) + unit.lostMs);
                unit.lostMs = 0;
                unit.lostReason = undefined;
                unit.waitCause = undefined;
            }
            break;
        }
        case "gangReserved":
        case "startDeferred": {
            const unit = findUnit(records, fields["unit"], true);
            if (unit) {
                unit.waitCause = line.event === "gangReserved" ? "placeReserved" : "placeDeferred";
            }
            break;
        }
        case "runEnded":
        case "runFailed":
        case "runLost": {
            const unit = findUnit(records, fields["task"], false);
            if (unit) {
                unit.lostMs = Math.max(unit.lostMs, Number(fields["ranMs"] ?? fields["seenMs"] ?? 0));
                unit.lostReason ??= runEnds.getEndReason(line);
            }
            break;
        }
        case "jobEnded": {
            const record = records.get(String(fields["job"]));
            if (record) {
                record.ended = line;
            }
            break;
        }
        default:
            break;
    }
}

function getPlacementReason(fields: logLine.LogLine["fields"], waitCause: string | undefined): string {
    if (fields["evacuatedZones"]) {
        return "placeWithoutZone";
    }
    return fields["waitedForSpeed"] ? "placeForSpeed" : waitCause ?? "place";
}

function processSubmission(records: Map<string, JobRecord>, line: logLine.LogLine): void {
    const { fields } = line;
    const jobId = String(fields["job"]);
    let record = records.get(jobId);
    if (!record) {
        record = {
            queue: String(fields["queue"]),
            account: String(fields["account"]),
            entry: line.instance,
            sentAt: Date.parse(line.time) - Number(fields["tookMs"] ?? 0),
            acceptedAt: undefined,
            sends: 0,
            reason: undefined,
            steps: new Map(),
            ended: undefined,
        };
        records.set(jobId, record);
    }
    if (record.acceptedAt !== undefined) {
        return;
    }
    record.sends++;
    if (fields["outcome"] === "accepted") {
        record.acceptedAt = Date.parse(line.time);
    }
    else {
        record.reason = String(fields["reason"] ?? fields["outcome"]);
    }
}

/**
 * Finds the unit of a task. A gang is placed as one unit but its runs end one by one, so a task without a unit of its own
 * counts with the last unit that was placed in its step. With `create` a missing unit is added.
 */
function findUnit(records: Map<string, JobRecord>, name: unknown, create: boolean): Unit | undefined {
    const text = String(name);
    const steps = records.get(getJobId(text))?.steps;
    const step = text.split(".").slice(1, 3).join(".");
    if (!steps) {
        return undefined;
    }
    const units = steps.get(step) ?? new Map<string, Unit>();
    const known = units.get(text) ?? (create ? undefined : [...units.values()].at(-1));
    if (known || !create) {
        // Undefined if the line that places the run is missing: a busy leader omits lines.
        return known;
    }
    const unit = { delays: new Map<string, number>(), lostMs: 0, lostReason: undefined, waitCause: undefined };
    units.set(text, unit);
    steps.set(step, units);
    return unit;
}

function addDelay(unit: Unit, reason: string, ms: number): void {
    unit.delays.set(reason, (unit.delays.get(reason) ?? 0) + ms);
}

function getJobId(name: unknown): string {
    return String(name).split(".", 1)[0]!;
}

function createSummary(jobId: string, record: JobRecord): JobSummary {
    const { ended, sentAt, acceptedAt } = record;
    const objectiveMs = ended ? toNumber(ended.fields["objectiveMs"]) : undefined;
    const tookMs = ended && Date.parse(ended.time) - sentAt;
    const delays = new Map<string, number>([["entry", (acceptedAt ?? sentAt) - sentAt]]);
    for (const units of record.steps.values()) {
        const slowest = [...units.values()].reduce((a, b) => sum(b.delays) > sum(a.delays) ? b : a);
        slowest.delays.forEach((ms, reason) => delays.set(reason, (delays.get(reason) ?? 0) + ms));
    }
    const expectedMs = toNumber(ended?.fields["expectedMs"]);
    if (tookMs !== undefined && expectedMs !== undefined) {
        delays.set("longRun", Math.max(0, tookMs - expectedMs - sum(delays)));
    }
    return {
        jobId,
        queue: record.queue,
        account: record.account,
        entry: record.entry,
        sentAt,
        sends: record.sends,
        served: getServed(record, tookMs, objectiveMs),
        state: ended ? String(ended.fields["state"]) : record.reason ?? "open",
        tookMs,
        objectiveMs,
        coreSeconds: toNumber(ended?.fields["coreSeconds"]) ?? 0,
        delays: Object.fromEntries(delays),
    };
}

function getServed(record: JobRecord, tookMs: number | undefined, objectiveMs: number | undefined): Served {
    if (record.acceptedAt === undefined) {
        return Served.Refused;
    }
    if (!record.ended || tookMs === undefined) {
        return Served.Open;
    }
    if (record.ended.fields["state"] !== "completed" || objectiveMs === undefined) {
        return Served.Missed;
    }
    if (tookMs <= objectiveMs) {
        return Served.InTime;
    }
    return tookMs <= MAX_LATE_FACTOR * objectiveMs ? Served.Late : Served.Missed;
}

function sumByCause(terms: Iterable<Readonly<Record<string, number>>>): Readonly<Record<string, number>> {
    const totalsByCause = new Map<string, number>();
    for (const term of terms) {
        for (const [cause, coreSeconds] of Object.entries(term)) {
            totalsByCause.set(cause, (totalsByCause.get(cause) ?? 0) + coreSeconds);
        }
    }
    return Object.fromEntries(totalsByCause);
}

function sum(delays: ReadonlyMap<string, number>): number {
    return [...delays.values()].reduce((total, ms) => total + ms, 0);
}

function toNumber(value: unknown): number | undefined {
    return typeof value === "number" ? value : undefined;
}
