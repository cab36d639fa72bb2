/** What each account has held of each service, averaged over the last tens of seconds. */
import type * as work from "../work/index";
import * as shares from "./shares";

/** State of one service at one time. */
export interface ServiceSample {
    /** Sum of the capacities of its workers. */
    readonly capacity: work.Resources;
    /** What the tasks of each account hold on its workers. */
    readonly heldByAccount: ReadonlyMap<string, work.Resources>;
    /** Weights of the accounts that have work. */
    readonly weightByAccount: ReadonlyMap<string, number>;
}

/** Decayed averages of the dominant shares, by service and account. */
export interface UsageLedger {
    /** Adds what was held since the previous sample. The first sample of a service without stored averages sets them. */
    record(services: ReadonlyMap<string, ServiceSample>, now: number): void;
    /** Usage by account of those that have work in the service, as of the last sample. */
    getUsage(service: string): ReadonlyMap<string, number>;
    /** Time of the last sample; `undefined` before the first one. */
    getSampledAt(): number | undefined;
    /** The averages, the largest first, as text of at most `maxBytes` bytes; `undefined` if there are none. */
    encode(maxBytes: number): string | undefined;
    /** Takes over stored averages that were valid at the time `at`. Throws if the text is of another format. */
    restore(text: string, at: number): void;
}

/** A few urgent jobs or one batch job long: shorter follows single jobs, longer punishes an account that has stopped. */
const HALF_LIFE_MS = 30_000;
/** Averages below this share of a service are dropped once the account holds nothing. */
const MIN_SHARE = 1e-4;
/** Bounds the stored bytes; 200 accounts take about 8 kB. */
const MAX_TEXT_BYTES = 16_000;
/** Digits of a stored average; more would be noise. */
const STORED_DIGITS = 4;

interface ServiceLedger {
    readonly shares: Map<string, number>;
    /** Time up to which `shares` are averaged. */
    at: number;
    usage: ReadonlyMap<string, number>;
}

const NO_USAGE: ReadonlyMap<string, number> = new Map();

/** A ledger without samples. */
export function createUsageLedger(): UsageLedger {
    const ledgers = new Map<string, ServiceLedger>();
    let sampledAt: number | undefined;

    const recordService = (service: string, sample: ServiceSample, now: number) => {
        const ledger = ledgers.get(service);
        const kept = ledger ? 0.5 ** (Math.max(0, now - ledger.at) / HALF_LIFE_MS) : 0;
        const averages = new Map<string, number>();
        for (const account of new Set([...ledger?.shares.keys() ?? [], ...sample.heldByAccount.keys()])) {
            const held = sample.heldByAccount.get(account);
            const share = held ? shares.getDominantShare(held, sample.capacity) : 0;
            const average = kept * (ledger?.shares.get(account) ?? 0) + (1 - kept) * share;
            if (share > 0 || average >= MIN_SHARE) {
                averages.set(account, average);
            }
        }
        ledgers.set(service, { shares: averages, at: now, usage: shares.getUsage(averages, sample.weightByAccount) });
    };

    return {
        record: (services, now) => {
            sampledAt = now;
            for (const [service, sample] of services) {
                recordService(service, sample, now);
            }
            for (const [service, ledger] of ledgers) {
                if (!services.has(service)) {
                    ledger.usage = NO_USAGE;
                }
            }
        },
        getUsage: service => ledgers.get(service)?.usage ?? NO_USAGE,
        getSampledAt: () => sampledAt,
        encode: maxBytes => {
            const all = [...ledgers].flatMap(([service, ledger]) =>
                [...ledger.shares].map(([account, share]) => ({ service, account, share }))
            );
            const list: string[] = [];
            let bytes = BRACKETS_BYTES;
            for (const { service, account, share } of all.sort((a, b) => b.share - a.share)) {
                const entry = JSON.stringify([service, account, Number(share.toFixed(STORED_DIGITS))]);
                bytes += Buffer.byteLength(entry) + COMMA_BYTES;
                if (bytes > Math.min(maxBytes, MAX_TEXT_BYTES)) {
                    break;
                }
                list.push(entry);
            }
            return list.length === 0 ? undefined : `[${list.join(",")}]`;
        },
        restore: (text, at) => {
            const stored = JSON.parse(text) as unknown;
            if (!Array.isArray(stored) || !stored.every(isStoredShare)) {
                throw new Error("not a list of shares");
            }
            for (const [service, account, share] of stored) {
                const ledger = ledgers.get(service) ?? { shares: new Map<string, number>(), at, usage: NO_USAGE };
                ledger.shares.set(account, share);
                ledgers.set(service, ledger);
            }
        },
    };
}

const BRACKETS_BYTES = 2;
const COMMA_BYTES = 1;

function isStoredShare(value: unknown): value is [service: string, account: string, share: number] {
    return Array.isArray(value) && value.length === 3 && typeof value[0] === "string" && typeof value[1] === "string"
        && typeof value[2] === "number" && value[2] >= 0 && value[2] <= 1;
}
