/** Counts violations from the workers' journals and the callers' records, not from the scheduler's own state. */
import type * as load from "../../src/load/index";
import * as workers from "../../src/workers/index";
import * as worker from "../worker/index";

export interface ViolationCounts {
    /** Accepted requests that have no outcome, or whose outcome is "done" although no worker finished them. */
    readonly lost: number;
    /** At-most-once requests that ran more than once, and jobs that were completed more than once. */
    readonly duplicated: number;
    /** Answers that belong to another request. */
    readonly crossed: number;
    /** Attempts of gangs of which some members ran longer than the grace period without all the others. */
    readonly partialGangs: number;
    /** Requests that were reported as "not run" although a worker started them. */
    readonly falseNotRun: number;
    /** Details of the first few violations. */
    readonly findings: readonly string[];
}

interface RunCounts {
    starts: number;
    /** Attempts of which the first member finished. */
    completions: number;
}

const MAX_FINDINGS = 5;
/** Starting a gang and stopping one whose start failed each take a round trip to every member. */
const GANG_GRACE_MS = 1000;

export function countViolations(
    records: readonly load.CallerRecord[],
    journal: readonly worker.JournalEntry[],
    now: number,
): ViolationCounts {
    const runs = countRuns(journal);
    let lost = 0;
    let duplicated = 0;
    let crossed = 0;
    let falseNotRun = 0;
    const findings: string[] = [];
    for (const record of records) {
        const { starts, completions } = runs.get(record.mark) ?? { starts: 0, completions: 0 };
        const isUnresolved = record.accepted && (record.outcome === "open" || record.outcome === "unknown");
        lost += isUnresolved || (record.outcome === "done" && completions === 0) ? 1 : 0;
        duplicated += (!record.repeatable && starts > 1) || (record.jobClass !== "interactive" && completions > 1)
            ? 1
            : 0;
        crossed += record.answerMark !== undefined && record.answerMark !== record.mark ? 1 : 0;
        const isFalseNotRun = record.outcome === "notRun" && starts > 0;
        falseNotRun += isFalseNotRun ? 1 : 0;
        if (findings.length < MAX_FINDINGS && (isFalseNotRun || isUnresolved)) {
            findings.push(
                `${record.jobClass} ${
                    record.repeatable ? "repeatable" : "once"
                } ${record.outcome} ${record.code} starts ${starts}`,
            );
        }
    }
    return { lost, duplicated, crossed, partialGangs: countPartialGangs(journal, now), falseNotRun, findings };
}

function countRuns(journal: readonly worker.JournalEntry[]): Map<string, RunCounts> {
    const runs = new Map<string, RunCounts>();
    for (const entry of journal) {
        const { mark } = worker.readPayload(entry.payload);
        const { index } = workers.parseTaskNote(entry.note);
        const counted = runs.get(mark) ?? { starts: 0, completions: 0 };
        runs.set(mark, counted);
        if (index === 0) {
            counted.starts++;
            counted.completions += entry.ended === "finished" ? 1 : 0;
        }
    }
    return runs;
}

function countPartialGangs(journal: readonly worker.JournalEntry[], now: number): number {
    const attempts = new Map<string, worker.JournalEntry[]>();
    for (const entry of journal) {
        const note = workers.parseTaskNote(entry.note);
        if (note.members > 1) {
            const key = `${note.jobId}.${note.attempt}`;
            attempts.set(key, [...attempts.get(key) ?? [], entry]);
        }
    }
    let partial = 0;
    for (const entries of attempts.values()) {
        const { members } = workers.parseTaskNote(entries[0]!.note);
        const longest = Math.max(...entries.map(entry => (entry.endedAt ?? now) - entry.startedAt));
        partial += entries.length < members && longest > GANG_GRACE_MS ? 1 : 0;
    }
    return partial;
}
