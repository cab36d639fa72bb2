/** Numbered assertions about the program's own state. A failure is a bug in this program, never an invalid input. */
export const InvariantCode = {
    ResourcesOverbooked: 1,
    TaskPlacedTwice: 2,
    RevisionDecreased: 3,
    UnknownWorker: 4,
    JobNotQueued: 5,
} as const;
export type InvariantCode = typeof InvariantCode[keyof typeof InvariantCode];

/** Throws an error that names the code and the detail unless the condition holds. */
export function invariant(condition: unknown, code: InvariantCode, detail: string): asserts condition {
    if (!condition) {
        throw new Error(`invariant ${code}: ${detail}`);
    }
}
