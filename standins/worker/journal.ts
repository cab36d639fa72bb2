/** What a worker really ran: the evidence that scenarios and benchmarks count from. */

export interface JournalEntry {
    readonly workerId: string;
    readonly taskId: string;
    readonly account: string;
    readonly note: string;
    readonly payload: string;
    readonly accelerators: number;
    readonly startedAt: number;
    /** `undefined` while it runs. */
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
