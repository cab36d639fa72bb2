/**
 * Random contention of a chaos run: workers of uneven speed, groups of workers that leave at short notice, accounts that
 * compete, and stored measured state that is damaged. It uses a random source of its own, so that a seed gives the same
 * jobs and other faults with and without it.
 */
import * as random from "../random/index";
import * as work from "../work/index";
import type * as jobModel from "./jobModel";
import type * as sites from "./site";

/** Contention of one site. */
export interface Contention {
    /** How many times as long as usual tasks take on the worker, by its first id. */
    getSlowdown(workerId: string): number;
    /** Returns the job under one of the accounts. */
    withRandomAccount(job: jobModel.EmulatedJob): jobModel.EmulatedJob;
    /** What happens to the site, and at which time. */
    readonly events: ReadonlyArray<{ readonly at: number; act(site: sites.Site): void; }>;
}

export interface ContentionOptions {
    readonly seed: number;
    /** Time within which workers leave. */
    readonly durationMs: number;
    readonly workerIds: readonly string[];
    /** Names of the accounts. */
    readonly accounts: readonly string[];
}

/** Keeps the derived seeds apart from those of sites and of other random sources. */
const CONTENTION_SEED_OFFSET = 23_000_000;
/** Slowdown of the slowest workers: how many times as long a site may need to end its jobs. */
export const MAX_SLOWDOWN = 1.8;
const SLOWDOWNS = [0.8, 0.8, 1, MAX_SLOWDOWN] as const;
const MAX_DEPARTURES = 3;
const MIN_NOTICE_MS = 1_500;
/** A replacement starts this long after the worker has left. */
const REPLACEMENT_MS = 4_000;
const MAX_DAMAGED_ROWS = 2;
/** Values of stored state that no build writes, or an earlier one did. */
const DAMAGED_VALUES = [
    "",
    "{",
    "null",
    "{\"at\":0}",
    "{\"at\":0,\"text\":\"[]\"}",
    "{\"at\":\"x\",\"text\":7}",
] as const;

/** Creates the contention of a seed. */
export function createContention({ seed, durationMs, workerIds, accounts }: ContentionOptions): Contention {
    const source = random.createRandom(seed + CONTENTION_SEED_OFFSET);
    const slowdowns = new Map(workerIds.map(id => [id, source.pick(SLOWDOWNS)]));
    const events: Array<Contention["events"][number]> = [];
    for (let departure = source.nextInt(MAX_DEPARTURES + 1); departure > 0; departure--) {
        const at = 2_000 + source.nextInt(durationMs - 4_000);
        const noticeMs = MIN_NOTICE_MS + source.nextInt(1_500);
        // A worker often stays longer than it has announced.
        const staysMs = noticeMs + source.pick([0, 0, 400, 3_000]);
        const count = 1 + source.nextInt(Math.ceil(workerIds.length / 2));
        const leaving = Array.from({ length: count }, () => source.pick(workerIds));
        events.push(...[...new Set(leaving)].flatMap(id => createDeparture(id, { at, noticeMs, staysMs })));
    }
    for (let damaged = source.nextInt(MAX_DAMAGED_ROWS + 1); damaged > 0; damaged--) {
        const value = source.pick(DAMAGED_VALUES);
        events.push({ at: source.nextInt(durationMs), act: site => damageStoredState(site, value) });
    }
    return {
        getSlowdown: workerId => slowdowns.get(workerId) ?? 1,
        withRandomAccount: job => ({ ...job, account: source.pick(accounts) }),
        events,
    };
}

function createDeparture(
    address: string,
    { at, noticeMs, staysMs }: { readonly at: number; readonly noticeMs: number; readonly staysMs: number; },
): Contention["events"] {
    let id: string | undefined;
    return [
        {
            at,
            act: site => {
                id = site.workers.findByAddress(address);
                if (id !== undefined) {
                    site.workers.drain(id, noticeMs);
                }
            },
        },
        {
            at: at + staysMs,
            act: site => {
                if (id !== undefined) {
                    site.leaveWorker(id, REPLACEMENT_MS);
                }
            },
        },
    ];
}

/** Overwrites what a leader has stored of its measurements, if it has. */
function damageStoredState(site: sites.Site, value: string): void {
    for (const row of site.store.getRows(work.Table.Learned)) {
        site.store.put({ ...row, value });
    }
}
