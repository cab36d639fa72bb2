/**
 * A ledger of all jobs that log lines tell of: what became of each, and where its time went from first send to end.
 *
 * Of a step the unit counts whose waits and lost runs took longest, since the step's end had to wait for it; the steps
 * of a job add up. What is left of a job's time is work that was done once.
 */
import * as runEnds from "./runEnds";
import type * as story from "./timeline";

export const Served = { InTime: "inTime", Late: "late", Missed: "missed", Refused: "refused", Open: "open" } as const;
export type Served = typeof Served[keyof typeof Served];

/**
 * Where time went beyond the expected work, in milliseconds: `entry`, `place`, the reason for which a run was lost, or
 * `longRun` for what the last runs took longer than expected, on slow workers, far from their data or by a wrong estimate.
 */
export type Delays = Readonly<Record<string, number>>;

export interface JobSummary {
    readonly jobId: string;
    readonly queue: string;
    readonly account: string;
    /** Instance to which it was sent first. */
    readonly entry: string;
    /** Of the first send, in milliseconds since 1970. */
    readonly sentAt: number;
    /** How often it was sent until it was accepted. */
    readonly sends: number;
    readonly served: Served;
    readonly state: string;
    /** From the first send to the end. */
    readonly tookMs: number | undefined;
    readonly objectiveMs: number | undefined;
    /** Work that it takes, an accelerator counted as eight cores. */
    readonly coreSeconds: number;
    readonly delays: Delays;
}

/** A stop of running work for urgent work, and what became of both. */
export interface PreemptionRecord {
    readonly victimQueue: string;
    readonly victimServed: Served;
    readonly forQueue: string;
    readonly forServed: Served;
    readonly lossCoreSeconds: number;
}

export interface JobReport {
    readonly jobs: readonly JobSummary[];
    readonly stops: readonly PreemptionRecord[];
    /** Core-seconds that all terms together threw away, by cause. */
    readonly thrownAway: Readonly<Record<string, number>>;
}

/** A late job still earns something up to this multiple of its objective. */
const LATE_MULTIPLE = 3;

interface Unit {
    readonly delays: Map<string, number>;
    /** Of the runs that ended early since the unit was placed last, the longest. */
    lostMs: number;
    lostReason: string | undefined;
}

/** What was read of one job so far. */
interface Tally {
    queue: string;
    account: string;
    entry: string;
    sentAt: number;
    acceptedAt: number | undefined;
    sends: number;
    reason: string | undefined;
    /** By step, then by unit: a gang's is its first member. */
    readonly steps: Map<string, Map<string, Unit>>;
    ended: story.LogLine | undefined;
}

/** Cancelled jobs are left out: nobody waits for them. */
export function createJobReport(lines: readonly story.LogLine[]): JobReport {
    const tallies = new Map<string, Tally>();
    const stops: story.LogLine[] = [];
    const thrownAwayByTerm = new Map<unknown, Readonly<Record<string, number>>>();
    for (const line of [...lines].sort((a, b) => Date.parse(a.time) - Date.parse(b.time))) {
        if (line.event === "preempting") {
            stops.push(line);
        }
        if (line.event === "workThrownAway") {
            // Each line tells the whole of its term so far.
            thrownAwayByTerm.set(line.fields["token"], line.fields["coreSeconds"] as Readonly<Record<string, number>>);
        }
        takeLine(tallies, line);
    }
    const jobs = [...tallies].filter(([, tally]) => tally.ended?.fields["state"] !== "cancelled")
        .map(([jobId, tally]) => createEntry(jobId, tally));
    const byId = new Map(jobs.map(job => [job.jobId, job]));
    return {
        jobs,
        thrownAway: sumByCause(thrownAwayByTerm.values()),
        stops: stops.flatMap(line => {
            const victim = byId.get(getJobId(line.fields["group"]));
            const gainer = byId.get(getJobId(line.fields["forUnit"]));
            return victim && gainer
                ? [{
                    victimQueue: victim.queue,
                    victimServed: victim.served,
                    forQueue: gainer.queue,
                    forServed: gainer.served,
                    lossCoreSeconds: Number(line.fields["lossCoreSeconds"]),
                }]
                : [];
        }),
    };
}

function takeLine(tallies: Map<string, Tally>, line: story.LogLine): void {
    const { fields } = line;
    switch (line.event) {
        case "request":
            if (fields["call"] === "submit") {
                takeSubmission(tallies, line);
            }
            break;
        case "placed": {
            const unit = findUnit(tallies, fields["unit"], true);
            if (unit) {
                addDelay(unit, unit.lostReason ?? "place", Number(fields["waitedMs"]) + unit.lostMs);
                unit.lostMs = 0;
                unit.lostReason = undefined;
            }
            break;
        }
        case "runEnded":
        case "runFailed":
        case "runLost": {
            const unit = findUnit(tallies, fields["task"], false);
            if (unit) {
                unit.lostMs = Math.max(unit.lostMs, Number(fields["ranMs"] ?? fields["seenMs"] ?? 0));
                unit.lostReason ??= runEnds.getEndReason(line);
            }
            break;
        }
        case "jobEnded": {
            const tally = tallies.get(String(fields["job"]));
            if (tally) {
                tally.ended = line;
            }
            break;
        }
        default:
            break;
    }
}

function takeSubmission(tallies: Map<string, Tally>, line: story.LogLine): void {
    const { fields } = line;
    const jobId = String(fields["job"]);
    let tally = tallies.get(jobId);
    if (!tally) {
        tally = {
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
        tallies.set(jobId, tally);
    }
    if (tally.acceptedAt !== undefined) {
        return;
    }
    tally.sends++;
    if (fields["outcome"] === "accepted") {
        tally.acceptedAt = Date.parse(line.time);
    }
    else {
        tally.reason = String(fields["reason"] ?? fields["outcome"]);
    }
}

/** The unit that a task's name belongs to. Members of a gang are told one by one, and count with the unit that was placed. */
function findUnit(tallies: Map<string, Tally>, name: unknown, create: boolean): Unit | undefined {
    const text = String(name);
    const steps = tallies.get(getJobId(text))?.steps;
    const step = text.split(".").slice(1, 3).join(".");
    if (!steps) {
        return undefined;
    }
    const units = steps.get(step) ?? new Map<string, Unit>();
    const known = units.get(text) ?? (create ? undefined : [...units.values()].at(-1));
    if (known || !create) {
        // Of a run whose place was not told, as a busy leader leaves lines out, nothing is known.
        return known;
    }
    const unit = { delays: new Map<string, number>(), lostMs: 0, lostReason: undefined };
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

function createEntry(jobId: string, tally: Tally): JobSummary {
    const { ended, sentAt, acceptedAt } = tally;
    const objectiveMs = ended ? toNumber(ended.fields["objectiveMs"]) : undefined;
    const tookMs = ended && Date.parse(ended.time) - sentAt;
    const delays = new Map<string, number>([["entry", (acceptedAt ?? sentAt) - sentAt]]);
    for (const units of tally.steps.values()) {
        const slowest = [...units.values()].reduce((a, b) => sum(b.delays) > sum(a.delays) ? b : a);
        slowest.delays.forEach((ms, reason) => delays.set(reason, (delays.get(reason) ?? 0) + ms));
    }
    const expectedMs = toNumber(ended?.fields["expectedMs"]);
    if (tookMs !== undefined && expectedMs !== undefined) {
        delays.set("longRun", Math.max(0, tookMs - expectedMs - sum(delays)));
    }
    return {
        jobId,
        queue: tally.queue,
        account: tally.account,
        entry: tally.entry,
        sentAt,
        sends: tally.sends,
        served: judge(tally, tookMs, objectiveMs),
        state: ended ? String(ended.fields["state"]) : tally.reason ?? "open",
        tookMs,
        objectiveMs,
        coreSeconds: toNumber(ended?.fields["coreSeconds"]) ?? 0,
        delays: Object.fromEntries(delays),
    };
}

function judge(tally: Tally, tookMs: number | undefined, objectiveMs: number | undefined): Served {
    if (tally.acceptedAt === undefined) {
        return Served.Refused;
    }
    if (!tally.ended || tookMs === undefined) {
        return Served.Open;
    }
    if (tally.ended.fields["state"] !== "completed" || objectiveMs === undefined) {
        return Served.Missed;
    }
    if (tookMs <= objectiveMs) {
        return Served.InTime;
    }
    return tookMs <= LATE_MULTIPLE * objectiveMs ? Served.Late : Served.Missed;
}

function sumByCause(terms: Iterable<Readonly<Record<string, number>>>): Readonly<Record<string, number>> {
    const totals = new Map<string, number>();
    for (const term of terms) {
        for (const [cause, coreSeconds] of Object.entries(term)) {
            totals.set(cause, (totals.get(cause) ?? 0) + coreSeconds);
        }
    }
    return Object.fromEntries(totals);
}

function sum(delays: ReadonlyMap<string, number>): number {
    return [...delays.values()].reduce((total, ms) => total + ms, 0);
}

function toNumber(value: unknown): number | undefined {
    return typeof value === "number" ? value : undefined;
}
