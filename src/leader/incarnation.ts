/**
 * Identifies the incarnations of a worker. A worker may restart under its name: the next incarnation knows nothing of
 * the one before, and its end numbers, its clock and its fencing token start anew. So everything that is known of a
 * worker holds for one incarnation.
 */

/** One incarnation of a worker. */
export interface Incarnation {
    /** Name of the worker, common to all its incarnations; calls to the worker are addressed to it. */
    readonly name: string;
    /** Unix time of the start in milliseconds; 0 if the worker does not report it. */
    readonly startedAt: number;
}

const SEPARATOR = "@";
const RADIX = 36;
const INCARNATION_ID_PATTERN = /^(.+)@([0-9a-z]+)$/;

/** Returns a unique id of the incarnation, or the worker's name if it does not report its start time. */
export function getIncarnationId({ name, startedAt }: Incarnation): string {
    return startedAt === 0 ? name : `${name}${SEPARATOR}${startedAt.toString(RADIX)}`;
}

/** Inverse of `getIncarnationId`; an id without a start time stands for the worker's name. */
export function parseIncarnationId(id: string): Incarnation {
    const [, name, encodedStart] = INCARNATION_ID_PATTERN.exec(id) ?? [];
    return name === undefined ? { name: id, startedAt: 0 } : { name, startedAt: parseInt(encodedStart!, RADIX) };
}

/** The latest known incarnation of each worker, from the directory, answers and stored rows. */
export interface LatestIncarnations {
    /** Records an incarnation and returns the latest one known of that worker. */
    record(incarnation: Incarnation): Incarnation;
}

/** Creates an empty record. */
export function createLatestIncarnations(): LatestIncarnations {
    const startedAtByName = new Map<string, number>();
    return {
        record: ({ name, startedAt }) => {
            const latest = Math.max(startedAt, startedAtByName.get(name) ?? 0);
            startedAtByName.set(name, latest);
            return { name, startedAt: latest };
        },
    };
}
