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

/** Whether a worker may have that name: one that looks like an id would be taken for an incarnation of another worker. */
export function isWorkerName(name: string): boolean {
    return name !== "" && !INCARNATION_ID_PATTERN.test(name);
}

/** Inverse of `getIncarnationId`; an id without a start time stands for the worker's name. */
export function parseIncarnationId(id: string): Incarnation {
    const [, name, encodedStart] = INCARNATION_ID_PATTERN.exec(id) ?? [];
    return name === undefined ? { name: id, startedAt: 0 } : { name, startedAt: parseInt(encodedStart!, RADIX) };
}

/**
 * The current incarnation of each worker, from answers, stored rows and the directory.
 *
 * An answer proves that its incarnation has started. An entry of the directory does not: others write there too, and one
 * with a wrong start time in the future would make every later entry of the worker look outdated. So the latest entry
 * counts, unless a later incarnation has answered.
 */
export interface CurrentIncarnations {
    /**
     * Records an entry of the directory, whose start time is 0 if the worker does not report it. Returns the incarnation
     * that it stands for; `undefined` if that one has ended.
     */
    list(incarnation: Incarnation): Incarnation | undefined;
    /** Records an incarnation that a stored row names; it is current unless a later one is. */
    restore(incarnation: Incarnation): void;
    /** Records an incarnation that has answered, and returns the current one. */
    confirm(incarnation: Incarnation): Incarnation;
    /** Returns the current incarnation of the worker with that name. */
    get(name: string): Incarnation;
}

/** Creates an empty record. */
export function createCurrentIncarnations(): CurrentIncarnations {
    const startedAtByName = new Map<string, number>();
    const confirmedByName = new Map<string, number>();
    const get = (name: string) => ({ name, startedAt: startedAtByName.get(name) ?? 0 });
    const restore = ({ name, startedAt }: Incarnation) =>
        void startedAtByName.set(name, Math.max(startedAt, get(name).startedAt));
    return {
        list: ({ name, startedAt }) => {
            if (startedAt === 0) {
                return get(name);
            }
            if (startedAt < (confirmedByName.get(name) ?? 0)) {
                return undefined;
            }
            startedAtByName.set(name, startedAt);
            return { name, startedAt };
        },
        restore,
        confirm: incarnation => {
            const { name, startedAt } = incarnation;
            confirmedByName.set(name, Math.max(startedAt, confirmedByName.get(name) ?? 0));
            restore(incarnation);
            return get(name);
        },
        get,
    };
}
