/**
 * The turns in which a new leader looks at its workers for the first time.
 *
 * What goes wrong without them: looks at thousands of workers go out in one go. Writing them takes a weak machine
 * seconds, in which it renews no lease; answers wait longer than a look is waited for; and the workers on which
 * something runs come last as often as first. One notices leaders that follow each other on a large site, or seconds
 * without a start after a takeover.
 *
 * So only a few looks are under way at a time, first at workers on which something may run, last at those that have
 * not answered before. Each look is written between other work, so the lease is renewed meanwhile.
 */
import type * as clock from "../clock/index";

export interface InitialPollLimiter {
    /** Resolves when the look may go out, with what has to be called once it was answered, or was not. */
    acquire(turn: PollPriority): Promise<() => void>;
}

/** Lower goes first. */
export const PollPriority = { Busy: 0, Idle: 1, Retry: 2 } as const;
export type PollPriority = typeof PollPriority[keyof typeof PollPriority];

/** A look costs about a millisecond here and one on the way, so that many keep both ends at work. */
const MOST_UNDER_WAY = 32;
/** A silent worker keeps the others waiting no longer: a live one answers within some 10 ms. */
const LONGEST_TURN_MS = 100;

export function createInitialPollLimiter(time: clock.Clock, mostUnderWay = MOST_UNDER_WAY): InitialPollLimiter {
    const waiting: ReadonlyArray<Array<() => void>> = [[], [], []];
    let underWay = 0;
    let admitting = false;

    const admit = () => {
        admitting = false;
        while (underWay < mostUnderWay) {
            const next = waiting.find(queue => queue.length > 0)?.shift();
            if (!next) {
                return;
            }
            underWay++;
            next();
        }
    };
    /** Later, so that whoever enters in the same moment is put in order first. */
    const admitSoon = () => {
        if (!admitting) {
            admitting = true;
            time.setTimer(0, admit);
        }
    };
    const begin = () => {
        let over = false;
        const leave = () => {
            if (!over) {
                over = true;
                cancel();
                underWay--;
                admitSoon();
            }
        };
        const cancel = time.setTimer(LONGEST_TURN_MS, leave);
        return leave;
    };
    return {
        acquire: turn =>
            new Promise(resolve => {
                waiting[turn]!.push(() => resolve(begin()));
                admitSoon();
            }),
    };
}
