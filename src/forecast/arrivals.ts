/**
 * Arrivals of urgent and guaranteed work by queue and account over the last minute, and the demand that follows from them.
 *
 * The demand at a time is the sum of the needs of the work that would then run if all of it had started on arrival. Waves
 * and bursts are in the observed demand itself, so that no model of them is needed.
 */
import type * as work from "../work/index";

/** A unit of urgent or guaranteed work that became ready. Times are in milliseconds. */
export interface Arrival {
    readonly service: string;
    readonly queue: string;
    readonly account: string;
    /** Number of tasks. */
    readonly width: number;
    /** Needs of one task. */
    readonly needs: work.Resources;
    readonly durationMs: number;
}

/** Observed arrivals. */
export interface Forecast {
    record(now: number, arrival: Arrival): void;
    /** Demand of the service at the end of each interval of the observed time, the oldest first. */
    getDemand(service: string, now: number): readonly work.Resources[];
    /** Time since the latest arrival of the service; `Infinity` without one. */
    getAgeMs(service: string, now: number): number;
    /** The queues and accounts with the most arrivals first, as text of at most `maxBytes` bytes. */
    encode(maxBytes: number, now: number): string | undefined;
    /** Takes over stored arrivals that are `ageMs` old. Throws if the text is of another format. */
    restore(text: string, ageMs: number, now: number): void;
}

/** Covers several waves of 10 to 15 s. */
const OBSERVED_MS = 60_000;
/** Interval of the demand, short compared with urgent runs of 2 s. */
export const INTERVAL_MS = 500;
/** Bounds the memory: 60 arrivals a second, ten times those of the busiest known service. */
const MAX_ARRIVALS = 3_600;
/** Stored arrivals are counted by intervals of this length. */
const STORED_INTERVAL_MS = 2_000;
const STORED_INTERVALS = OBSERVED_MS / STORED_INTERVAL_MS;
/** A row of the store is small, so that it costs 2 kB/s at the interval of the writes. */
const MAX_STORED_BYTES = 8_192;
const COUNT_RADIX = 36;

interface TimedArrival extends Arrival {
    readonly at: number;
}

/** Stored arrivals of one kind: counts from the oldest interval to the latest, one character each. */
type StoredSource = readonly [
    service: string,
    queue: string,
    account: string,
    width: number,
    cpuMillis: number,
    memoryMb: number,
    accelerators: number,
    durationMs: number,
    counts: string,
];

/** Creates a forecast without arrivals. */
export function createForecast(): Forecast {
    let arrivals: TimedArrival[] = [];
    const cached = new Map<string, { readonly at: number; readonly demand: readonly work.Resources[]; }>();
    const dropOld = (now: number) => {
        const from = arrivals.findIndex(({ at }) => at > now - OBSERVED_MS);
        arrivals = from < 0 ? [] : arrivals.slice(Math.max(from, arrivals.length - MAX_ARRIVALS));
    };
    return {
        record: (now, arrival) => {
            arrivals.push({ ...arrival, at: now });
            if (arrivals.length > 2 * MAX_ARRIVALS || arrivals[0]!.at < now - 2 * OBSERVED_MS) {
                dropOld(now);
            }
        },
        getDemand: (service, now) => {
            const known = cached.get(service);
            if (known && now - known.at < INTERVAL_MS) {
                return known.demand;
            }
            dropOld(now);
            const demand = createDemand(arrivals.filter(arrival => arrival.service === service), now);
            cached.set(service, { at: now, demand });
            return demand;
        },
        getAgeMs: (service, now) => now - (arrivals.findLast(arrival => arrival.service === service)?.at ?? -Infinity),
        encode: (maxBytes, now) => {
            dropOld(now);
            return encodeSources(arrivals, Math.min(maxBytes, MAX_STORED_BYTES), now);
        },
        restore: (text, ageMs, now) => {
            const stored = JSON.parse(text) as unknown;
            if (!Array.isArray(stored) || !stored.every(isStoredSource)) {
                throw new Error("not arrivals by queue and account");
            }
            const restored = stored.flatMap(source => listArrivals(source, now - ageMs))
                .filter(({ at }) => at > now - OBSERVED_MS);
            arrivals = [...restored, ...arrivals].sort((a, b) => a.at - b.at).slice(-MAX_ARRIVALS);
            cached.clear();
        },
    };
}

/** The intervals since the first arrival; none before an arrival is known. */
function createDemand(arrivals: readonly TimedArrival[], now: number): work.Resources[] {
    if (arrivals.length === 0) {
        return [];
    }
    const count = Math.ceil((now - arrivals[0]!.at) / INTERVAL_MS) + 1;
    const demand = Array.from({ length: count }, () => ({ cpuMillis: 0, memoryMb: 0, accelerators: 0 }));
    for (const { at, durationMs, needs, width } of arrivals) {
        const first = count - 1 - Math.floor((now - at) / INTERVAL_MS);
        const last = Math.min(count - 1, first + Math.max(0, Math.ceil(durationMs / INTERVAL_MS) - 1));
        for (let index = Math.max(0, first); index <= last; index++) {
            demand[index]!.cpuMillis += needs.cpuMillis * width;
            demand[index]!.memoryMb += needs.memoryMb * width;
            demand[index]!.accelerators += needs.accelerators * width;
        }
    }
    return demand;
}

function encodeSources(arrivals: readonly TimedArrival[], maxBytes: number, now: number): string | undefined {
    const byKind = new Map<string, TimedArrival[]>();
    for (const arrival of arrivals) {
        const key = JSON.stringify([arrival.service, arrival.queue, arrival.account]);
        const same = byKind.get(key);
        if (same) {
            same.push(arrival);
        }
        else {
            byKind.set(key, [arrival]);
        }
    }
    let text = "";
    for (const same of [...byKind.values()].sort((a, b) => b.length - a.length)) {
        const entry = JSON.stringify(toStoredSource(same, now));
        if (Buffer.byteLength(text) + Buffer.byteLength(entry) + JSON_OVERHEAD_BYTES > maxBytes) {
            break;
        }
        text += text === "" ? entry : `,${entry}`;
    }
    return text === "" ? undefined : `[${text}]`;
}

/** Two brackets and the comma before the entry. */
const JSON_OVERHEAD_BYTES = 3;

function toStoredSource(arrivals: readonly TimedArrival[], now: number): StoredSource {
    const counts = new Array<number>(STORED_INTERVALS).fill(0);
    for (const { at } of arrivals) {
        const index = STORED_INTERVALS - 1 - Math.floor((now - at) / STORED_INTERVAL_MS);
        counts[Math.max(0, index)]!++;
    }
    const average = (get: (arrival: Arrival) => number) =>
        Math.round(arrivals.reduce((sum, arrival) => sum + get(arrival), 0) / arrivals.length);
    const { service, queue, account } = arrivals[0]!;
    return [
        service,
        queue,
        account,
        Math.max(1, average(({ width }) => width)),
        average(({ needs }) => needs.cpuMillis),
        average(({ needs }) => needs.memoryMb),
        average(({ needs }) => needs.accelerators),
        average(({ durationMs }) => durationMs),
        counts.map(count => Math.min(count, COUNT_RADIX - 1).toString(COUNT_RADIX)).join(""),
    ];
}

function isStoredSource(value: unknown): value is StoredSource {
    return Array.isArray(value) && value.length === 9
        && value.slice(0, 3).every(item => typeof item === "string")
        && value.slice(3, 8).every(item => typeof item === "number" && item >= 0 && item < Infinity)
        && typeof value[8] === "string" && new RegExp(`^[0-9a-z]{${STORED_INTERVALS}}$`).test(value[8]);
}

function listArrivals(stored: StoredSource, storedAt: number): TimedArrival[] {
    const [service, queue, account, width, cpuMillis, memoryMb, accelerators, durationMs, counts] = stored;
    const needs = { cpuMillis, memoryMb, accelerators };
    return [...counts].flatMap((digit, index) => {
        const count = parseInt(digit, COUNT_RADIX);
        const from = storedAt - (STORED_INTERVALS - index) * STORED_INTERVAL_MS;
        return Array.from({ length: count }, (_, number): TimedArrival => ({
            service,
            queue,
            account,
            width,
            needs,
            durationMs,
            at: from + (number + 0.5) * STORED_INTERVAL_MS / count,
        }));
    });
}
