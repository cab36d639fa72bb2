/** A story as text for people. */
import type * as story from "./timeline";

export function renderTimeline(told: story.Timeline): string {
    const lines = told.lines.map(line => `${line.time}  ${line.instance}  ${line.event}${renderFields(line.fields)}`);
    return [...lines, "", renderVerdict(told.verdict)].join("\n");
}

function renderFields(fields: Readonly<Record<string, unknown>>): string {
    return Object.entries(fields)
        .filter(([name, value]) => name !== "level" && value !== undefined && value !== "")
        .map(([name, value]) => `  ${name}=${typeof value === "string" ? value : JSON.stringify(value)}`)
        .join("");
}

function renderVerdict(verdict: story.Verdict): string {
    switch (verdict.kind) {
        case "refused":
            return `Refused, not run: ${verdict.reason}.`;
        case "undecided":
            return `No answer of the store decided it: ${verdict.reason}.`;
        case "failed":
            return `Failed after ${verdict.runs} failed runs, on ${verdict.workers.join(", ")}.`;
        case "givenUp":
            return `Failed: workers crashed under task ${verdict.task}, ${verdict.workers.join(", ")}.`;
        case "cancelled":
            return "Cancelled by its caller.";
        case "completed": {
            const wait = verdict.waitedMs === undefined ? "" : `, first placed after ${verdict.waitedMs} ms`;
            const setbacks = Object.entries(verdict.setbacks).map(([reason, count]) => `${count} ${reason}`);
            const cost = setbacks.length > 0 ? `; runs that ended early: ${setbacks.join(", ")}` : "";
            return `Completed after ${verdict.ageMs} ms${wait}${cost}.`;
        }
        case "open":
            return `Not over as far as these lines tell; the last is ${verdict.last}.`;
        case "unknown":
            return "No line tells of it.";
    }
}
