/** Renders a timeline as text. */
import type * as timelines from "./timeline";

/** Renders one line per log line, and then the verdict. */
export function renderTimeline(timeline: timelines.Timeline): string {
    const lines = timeline.lines.map(line =>
        `${line.time}  ${line.instance}  ${line.event}${renderFields(line.fields)}`
    );
    return [...lines, "", renderVerdict(timeline.verdict)].join("\n");
}

function renderFields(fields: Readonly<Record<string, unknown>>): string {
    return Object.entries(fields)
        .filter(([name, value]) => name !== "level" && value !== undefined && value !== "")
        .map(([name, value]) => `  ${name}=${typeof value === "string" ? value : JSON.stringify(value)}`)
        .join("");
}

function renderVerdict(verdict: timelines.Verdict): string {
    switch (verdict.kind) {
        case "refused":
            return `Refused, not run: ${verdict.reason}.`;
        case "refusedForLoad":
            return `Refused for load, not run: the expected wait of ${verdict.expectedWaitMs} ms exceeds the `
                + `${verdict.maxWaitMs} ms after which the job earns nothing; the load was known as of `
                + `${verdict.loadAgeMs} ms before.`;
        case "undecided":
            return `Undecided, since the store did not answer: ${verdict.reason}.`;
        case "failed":
            return `Failed after ${verdict.runs} failed runs, on ${verdict.workers.join(", ")}.`;
        case "givenUp":
            return `Failed: workers crashed while they ran task ${verdict.task}: ${verdict.workers.join(", ")}.`;
        case "cancelled":
            return "Cancelled by its caller.";
        case "completed": {
            const wait = verdict.waitedMs === undefined ? "" : `, first placed after ${verdict.waitedMs} ms`;
            const setbacks = Object.entries(verdict.setbacks).map(([reason, count]) => `${count} ${reason}`);
            const cost = setbacks.length > 0 ? `; runs that ended early: ${setbacks.join(", ")}` : "";
            return `Completed after ${verdict.ageMs} ms${wait}${cost}.`;
        }
        case "open":
            return `Not finished according to these lines; the last event is ${verdict.last}.`;
        case "unknown":
            return "No log line refers to it.";
    }
}
