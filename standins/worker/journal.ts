/** The journal of the tasks that a worker ran, from which scenarios and benchmarks count violations. */

export interface JournalEntry {
    readonly workerId: string;
    readonly taskId: string;
    readonly account: string;
    readonly note: string;
    readonly payload: string;
    readonly accelerators: number;
    readonly startedAt: number;
    /** `undefined` while the task runs. */
    endedAt: number | undefined;
    ended: "finished" | "failed" | "stopped" | undefined;
}

export interface Journal {
    add(entry: JournalEntry): void;
    getEntries(): readonly JournalEntry[];
}

export function createJournal(): Journal {
    const entries: JournalEntry[] = [];
    return {
        add: entry => {
            entries.push(entry);
        },
        getEntries: () => entries,
    };
}
