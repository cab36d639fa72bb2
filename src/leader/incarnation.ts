/**
 * The identity of a worker's life. A worker may start again under its name: the next life knows nothing of the one
 * before, and its ends, its clock and its fencing token begin anew. Whatever is known of a worker is known of one life.
 */

export interface Incarnation {
    /** Of the worker; outlives its lives, and is what calls to the worker are addressed to. */
    readonly name: string;
    /** Unix time in milliseconds; 0 where the worker does not tell. */
    readonly startedAt: number;
}

const SEPARATOR = "@";
const RADIX = 36;
const INCARNATION_ID_PATTERN = /^(.+)@([0-9a-z]+)$/;

/** Unique to the life; the worker's name where it does not tell when it was born. */
export function getIncarnationId({ name, startedAt: bornAt }: Incarnation): string {
    return bornAt === 0 ? name : `${name}${SEPARATOR}${bornAt.toString(RADIX)}`;
}

export function parseIncarnationId(id: string): Incarnation {
    const [, name, born] = INCARNATION_ID_PATTERN.exec(id) ?? [];
    return name === undefined ? { name: id, startedAt: 0 } : { name, startedAt: parseInt(born!, RADIX) };
}

/** The newest life of each worker that any source has told of: the directory, an answer, or a stored row. */
export interface LatestIncarnations {
    /** Takes note of a life; returns the newest one known, which is another where this one is over. */
    record(life: Incarnation): Incarnation;
}

export function createLatestIncarnations(): LatestIncarnations {
    const bornAts = new Map<string, number>();
    return {
        record: ({ name, startedAt: bornAt }) => {
            const newest = Math.max(bornAt, bornAts.get(name) ?? 0);
            bornAts.set(name, newest);
            return { name, startedAt: newest };
        },
    };
}
