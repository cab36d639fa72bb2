/** Timeline and outcome of one request, from the log lines of any number of instances. */
import type * as logLine from "./logLine";
import * as runEnds from "./runEnds";

/** Result of `explain` for one request. Its keys are output by `--json`. */
export interface Timeline {
    /** Id of the request's job, if a line has it. */
    readonly jobId: string | undefined;
    /** Lines that refer to the request or its job, and state changes of the instances that logged them; oldest first. */
    readonly lines: readonly logLine.LogLine[];
    readonly verdict: Verdict;
}

/** Outcome of the request, as far as the lines show it. */
export type Verdict =
    | { readonly kind: "refused"; readonly reason: string; }
    /** The expected wait was longer than the job could wait; the age is that of the leader's summary. */
    | {
        readonly kind: "refusedForLoad";
        readonly expectedWaitMs: number;
        readonly maxWaitMs: number;
        readonly loadAgeMs: number;
    }
    | { readonly kind: "undecided"; readonly reason: string; }
    | { readonly kind: "failed"; readonly runs: number; readonly workers: readonly string[]; }
    /** One of its tasks was given up because workers crashed while they ran it. */
    | { readonly kind: "givenUp"; readonly task: string; readonly workers: readonly string[]; }
    | { readonly kind: "cancelled"; }
    | {
        readonly kind: "completed";
        readonly ageMs: number;
        /** Time from the acceptance to the first placement; absent if a line is missing. */
        readonly waitedMs: number | undefined;
        /** Number of runs that ended early, by reason. */
        readonly setbacks: Readonly<Record<string, number>>;
    }
    | { readonly kind: "open"; readonly last: string; }
    | { readonly kind: "unknown"; };

/** Events of an instance that affect all of its requests. */
const INSTANCE_EVENTS: ReadonlySet<string> = new Set([
    "starting",
    "stopping",
    "storeLost",
    "storeRegained",
    "leadershipTaken",
    "leadershipLost",
    "holderGone",
    "jobsRead",
]);

/** Parses one log line: a JSON object after an optional prefix. Returns `undefined` for any other text. */
export function parseLogLine(text: string): logLine.LogLine | undefined {
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
        // Truncated, or of another program: the timeline is made from the other lines.
        return undefined;
    }
}

/** Creates the timeline of a request; `id` is that of the request or of its job. */
export function createTimeline(allLines: readonly logLine.LogLine[], id: string): Timeline {
    const jobId = findJobId(allLines, id);
    const requestLines = allLines.filter(line => refersTo(line, id) || (jobId !== undefined && refersTo(line, jobId)));
    requestLines.sort(compareTimes);
    const first = requestLines[0];
    const last = requestLines.at(-1);
    if (!first || !last) {
        return { jobId, lines: [], verdict: { kind: "unknown" } };
    }
    // Events of an instance after the job ended did not affect it, though its state may still be queried.
    const decidedAt = (requestLines.findLast(line => line.event === "jobEnded") ?? last).time;
    const instances = new Set(requestLines.map(line => line.instance));
    const instanceLines = allLines.filter(line =>
        INSTANCE_EVENTS.has(line.event)
        && instances.has(line.instance)
        && line.time >= first.time
        && line.time <= decidedAt
    );
    return { jobId, lines: [...requestLines, ...instanceLines].sort(compareTimes), verdict: getVerdict(requestLines) };
}

function findJobId(allLines: readonly logLine.LogLine[], id: string): string | undefined {
    const line = allLines.find(candidate => candidate.fields["request"] === id || candidate.fields["job"] === id);
    const job = line?.fields["job"];
    return typeof job === "string" && job !== "" ? job : undefined;
}

/** Returns whether a field holds the id, or ends with it, or holds the name of one of the job's tasks. */
function refersTo(line: logLine.LogLine, id: string): boolean {
    return Object.values(line.fields).some(value =>
        typeof value === "string" && (value === id || value.startsWith(`${id}.`) || value.endsWith(` ${id}`))
    );
}

function compareTimes(a: logLine.LogLine, b: logLine.LogLine): number {
    return a.time === b.time ? 0 : a.time < b.time ? -1 : 1;
}

function getVerdict(requestLines: readonly logLine.LogLine[]): Verdict {
    const ended = requestLines.findLast(line => line.event === "jobEnded");
    switch (ended?.fields["state"]) {
        case "completed":
            return {
                kind: "completed",
                ageMs: Number(ended.fields["ageMs"]),
                waitedMs: getWait(requestLines),
                setbacks: countSetbacks(requestLines),
            };
        case "failed": {
            const givenUp = requestLines.find(line => line.event === "taskGivenUp")?.fields["task"];
            if (givenUp !== undefined) {
                const losses = requestLines.filter(line => line.event === "runLost" && line.fields["task"] === givenUp);
                return { kind: "givenUp", task: String(givenUp), workers: listWorkers(losses) };
            }
            const failures = requestLines.filter(line => line.event === "runFailed");
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
    const accepted = requestLines.some(line => line.event === "request" && line.fields["outcome"] === "accepted");
    const submitted = requestLines.findLast(line => line.event === "request" && line.fields["call"] === "submit");
    if (!accepted && submitted?.fields["admission"] === "refused") {
        return {
            kind: "refusedForLoad",
            expectedWaitMs: Number(submitted.fields["expectedWaitMs"]),
            maxWaitMs: Number(submitted.fields["maxWaitMs"]),
            loadAgeMs: Number(submitted.fields["loadAgeMs"]),
        };
    }
    if (!accepted && submitted?.fields["outcome"] === "notAccepted") {
        return { kind: "refused", reason: String(submitted.fields["reason"]) };
    }
    if (!accepted && submitted?.fields["outcome"] === "undecided") {
        return { kind: "undecided", reason: String(submitted.fields["reason"]) };
    }
    return { kind: "open", last: requestLines.at(-1)!.event };
}

function listWorkers(lines: readonly logLine.LogLine[]): string[] {
    return [...new Set(lines.map(line => String(line.fields["worker"])))];
}

function getWait(requestLines: readonly logLine.LogLine[]): number | undefined {
    const accepted = requestLines.find(line => line.event === "request" && line.fields["outcome"] === "accepted");
    const placed = requestLines.find(line => line.event === "placed");
    return accepted && placed ? Math.max(0, Date.parse(placed.time) - Date.parse(accepted.time)) : undefined;
}

function countSetbacks(requestLines: readonly logLine.LogLine[]): Record<string, number> {
    const setbacks: Record<string, number> = {};
    for (const line of requestLines) {
        const reason = runEnds.getEndReason(line);
        if (reason !== undefined) {
            setbacks[reason] = (setbacks[reason] ?? 0) + 1;
        }
    }
    return setbacks;
}
