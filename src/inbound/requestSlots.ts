/**
 * Limits how many requests of a server are carried out at a time; the others wait in the order of their arrival.
 *
 * A request whose client has gone while it waited is dropped, so that what is carried out is what somebody waits for.
 * Without the limit, the calls of requests sent ahead would fill the queues to the store until all calls time out.
 */

export interface RequestSlots {
    /** Carries out `work` when its turn comes, unless `isWanted` is false by then. */
    run(isWanted: () => boolean, work: () => Promise<void>): Promise<void>;
}

/** Creates slots for `count` requests at a time. */
export function createRequestSlots(count: number): RequestSlots {
    let free = count;
    const waiting = new Set<() => void>();
    const release = () => {
        const [next] = waiting;
        if (next) {
            waiting.delete(next);
            next();
        }
        else {
            free++;
        }
    };
    const acquire = (): Promise<void> | undefined => {
        if (free > 0) {
            free--;
            return undefined;
        }
        return new Promise(resolve => waiting.add(resolve));
    };
    return {
        run: async (isWanted, work) => {
            await acquire();
            try {
                if (isWanted()) {
                    await work();
                }
            }
            finally {
                release();
            }
        },
    };
}
