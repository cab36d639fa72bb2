/** Stored form of measured speeds: a format version, then one entry for each worker. */

/** The logarithm of a worker's speed, and its variance. */
export interface StoredSpeed {
    readonly service: string;
    readonly name: string;
    readonly kind: string;
    readonly mean: number;
    readonly variance: number;
}

const FORMAT = 1;
/** Digits of stored numbers; more would be noise. */
const DIGITS = 3;
const MAX_LOG_SPEED = 3;
/** Most precise variance that is taken over. */
const MIN_VARIANCE = 0.001;
/** `{"format":1,"speeds":[]}` and a comma. */
const OVERHEAD_BYTES = 32;

const MAX_VARIANCE = 100;

/** At most `maxBytes` bytes, the speeds that differ most from 1 first; `undefined` if there are none. */
export function encode(speeds: readonly StoredSpeed[], maxBytes: number): string | undefined {
    const sorted = [...speeds].sort((a, b) => Math.abs(b.mean) - Math.abs(a.mean));
    const texts: string[] = [];
    let bytes = OVERHEAD_BYTES;
    for (const { service, name, kind, mean, variance } of sorted) {
        const text = JSON.stringify([service, name, kind, round(mean), round(Math.max(MIN_VARIANCE, variance))]);
        bytes += Buffer.byteLength(text) + 1;
        if (bytes > maxBytes) {
            break;
        }
        texts.push(text);
    }
    return texts.length === 0 ? undefined : `{"format":${FORMAT},"speeds":[${texts.join(",")}]}`;
}

/** Throws if the text is of another format. */
export function decode(text: string): StoredSpeed[] {
    const stored = JSON.parse(text) as { readonly format?: unknown; readonly speeds?: unknown; } | undefined;
    const entries = stored?.format === FORMAT ? stored.speeds : undefined;
    if (!Array.isArray(entries) || !entries.every(isEntry)) {
        throw new Error("not a list of speeds");
    }
    return entries.map(([service, name, kind, mean, variance]) => ({
        service,
        name,
        kind,
        mean,
        variance: Math.max(MIN_VARIANCE, variance),
    }));
}

type Entry = readonly [service: string, name: string, kind: string, mean: number, variance: number];
const ENTRY_LENGTH = 5;

function isEntry(value: unknown): value is Entry {
    if (!Array.isArray(value) || value.length !== ENTRY_LENGTH) {
        return false;
    }
    const [service, name, kind, mean, variance] = value as unknown[];
    return [service, name, kind].every(item => typeof item === "string")
        && typeof mean === "number" && Math.abs(mean) <= MAX_LOG_SPEED
        && typeof variance === "number" && variance >= 0 && variance <= MAX_VARIANCE;
}

function round(value: number): number {
    return Number(value.toFixed(DIGITS));
}
