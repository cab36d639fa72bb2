/** A request's story, from the log lines of any number of instances. */
import * as runEnds from "./runEnds";

export interface LogLine {
    readonly time: string;
    readonly instance: string;
    readonly event: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

export interface Timeline {
    readonly jobId: string | undefined;
    /** What concerns the request, oldest first, with what befell the instances that took part meanwhile. */
    readonly lines: readonly LogLine[];
    readonly verdict: Verdict;
}

/** What became of the request, as far as the lines tell. */
export type Verdict =
    | { readonly kind: "refused"; readonly reason: string; }
    | { readonly kind: "undecided"; readonly reason: string; }
    | { readonly kind: "failed"; readonly runs: number; readonly workers: readonly string[]; }
    /** Its workers crashed under one of its tasks. */
    | { readonly kind: "givenUp"; readonly task: string; readonly workers: readonly string[]; }
    | { readonly kind: "cancelled"; }
    | {
        readonly kind: "completed";
        readonly ageMs: number;
        /** From being handed in to the first start; absent where no line tells. */
        readonly waitedMs: number | undefined;
        /** Runs that ended otherwise than well, by reason. */
        readonly setbacks: Readonly<Record<string, number>>;
    }
    | { readonly kind: "open"; readonly last: string; }
    | { readonly kind: "unknown"; };

/** Events that touch every request at an instance. */
const SURROUNDINGS: ReadonlySet<string> = new Set([
    "starting",
    "stopping",
    "storeLost",
    "storeRegained",
    "leadershipTaken",
    "leadershipLost",
    "holderGone",
    "jobsRead",
]);

/** Reads one line: a JSON object, whatever stands before it. */
export function parseLogLine(text: string): LogLine | undefined {
    const start = text.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    try {
        const { time, instance, event, ...fields } = JSON.parse(text.slice(start)) as Record<string, unknown>;
        return typeof event === "string" && typeof time === "string"
            ? { time, instance: String(instance), event, fields }
            : undefined;
    }
    catch {
        // Cut off, or not ours: the story is told from the other lines.
        return undefined;
    }
}

/** `id` is a job's or a request's. */
export function createTimeline(all: readonly LogLine[], id: string): Timeline {
    const jobId = findJobId(all, id);
    const own = all.filter(line => concerns(line, id) || (jobId !== undefined && concerns(line, jobId)));
    own.sort(byTime);
    const first = own[0];
    const last = own.at(-1);
    if (!first || !last) {
        return { jobId, lines: [], verdict: { kind: "unknown" } };
    }
    // What befalls an instance after the job is over did nothing to it, though its state may still be asked for.
    const decidedAt = (own.findLast(line => line.event === "jobEnded") ?? last).time;
    const instances = new Set(own.map(line => line.instance));
    const around = all.filter(line =>
        SURROUNDINGS.has(line.event)
        && instances.has(line.instance)
        && line.time >= first.time
        && line.time <= decidedAt
    );
    return { jobId, lines: [...own, ...around].sort(byTime), verdict: judge(own) };
}

function findJobId(all: readonly LogLine[], id: string): string | undefined {
    const line = all.find(candidate => candidate.fields["request"] === id || candidate.fields["job"] === id);
    const job = line?.fields["job"];
    return typeof job === "string" && job !== "" ? job : undefined;
}

/** Whether a field holds the id, or the name of one of its tasks, which begins with it. */
function concerns(line: LogLine, id: string): boolean {
    return Object.values(line.fields).some(value =>
        typeof value === "string" && (value === id || value.startsWith(`${id}.`) || value.endsWith(` ${id}`))
    );
}

function byTime(a: LogLine, b: LogLine): number {
    return a.time === b.time ? 0 : a.time < b.time ? -1 : 1;
}

function judge(own: readonly LogLine[]): Verdict {
    const ended = own.findLast(line => line.event === "jobEnded");
    switch (ended?.fields["state"]) {
        case "completed":
            return {
                kind: "completed",
                ageMs: Number(ended.fields["ageMs"]),
                waitedMs: getWait(own),
                setbacks: countSetbacks(own),
            };
        case "failed": {
            const givenUp = own.find(line => line.event === "taskGivenUp")?.fields["task"];
            if (givenUp !== undefined) {
                const losses = own.filter(line => line.event === "runLost" && line.fields["task"] === givenUp);
                return { kind: "givenUp", task: String(givenUp), workers: listWorkers(losses) };
            }
            const failures = own.filter(line => line.event === "runFailed");
            return {
                kind: "failed",
                runs: failures.length,
                workers: listWorkers(failures),
            };
        }
        case "cancelled":
            return { kind: "cancelled" };
        default:
            break;
    }
    const accepted = own.some(line => line.event === "request" && line.fields["outcome"] === "accepted");
    const submitted = own.findLast(line => line.event === "request" && line.fields["call"] === "submit");
    if (!accepted && submitted?.fields["outcome"] === "notAccepted") {
        return { kind: "refused", reason: String(submitted.fields["reason"]) };
    }
    if (!accepted && submitted?.fields["outcome"] === "undecided") {
        return { kind: "undecided", reason: String(submitted.fields["reason"]) };
    }
    return { kind: "open", last: own.at(-1)!.event };
}

function listWorkers(lines: readonly LogLine[]): string[] {
    return [...new Set(lines.map(line => String(line.fields["worker"])))];
}

function getWait(own: readonly LogLine[]): number | undefined {
    const accepted = own.find(line => line.event === "request" && line.fields["outcome"] === "accepted");
    const placed = own.find(line => line.event === "placed");
    return accepted && placed ? Math.max(0, Date.parse(placed.time) - Date.parse(accepted.time)) : undefined;
}

function countSetbacks(own: readonly LogLine[]): Record<string, number> {
    const setbacks: Record<string, number> = {};
    for (const line of own) {
        const reason = runEnds.getEndReason(line);
        if (reason !== undefined) {
            setbacks[reason] = (setbacks[reason] ?? 0) + 1;
        }
    }
    return setbacks;
}
