/**
 * The identity of a worker's life. A worker may start again under its name: the next life knows nothing of the one
 * before, and its ends, its clock and its fencing token begin anew. Whatever is known of a worker is known of one life.
 */

export interface Life {
    /** Of the worker; outlives its lives, and is what calls to the worker are addressed to. */
    readonly name: string;
    /** Unix time in milliseconds; 0 where the worker does not tell. */
    readonly bornAt: number;
}

const SEPARATOR = "@";
const RADIX = 36;
const LIFE_ID = /^(.+)@([0-9a-z]+)$/;

/** Unique to the life; the worker's name where it does not tell when it was born. */
export function getLifeId({ name, bornAt }: Life): string {
    return bornAt === 0 ? name : `${name}${SEPARATOR}${bornAt.toString(RADIX)}`;
}

export function parseLifeId(id: string): Life {
    const [, name, born] = LIFE_ID.exec(id) ?? [];
    return name === undefined ? { name: id, bornAt: 0 } : { name, bornAt: parseInt(born!, RADIX) };
}

/** The newest life of each worker that any source has told of: the directory, an answer, or a stored row. */
export interface NewestLives {
    /** Takes note of a life; returns the newest one known, which is another where this one is over. */
    note(life: Life): Life;
}

export function createNewestLives(): NewestLives {
    const bornAts = new Map<string, number>();
    return {
        note: ({ name, bornAt }) => {
            const newest = Math.max(bornAt, bornAts.get(name) ?? 0);
            bornAts.set(name, newest);
            return { name, bornAt: newest };
        },
    };
}
