/** Stored form of measured speeds: a format version, then one entry for each worker. */
import * as zod from "zod";

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

const SCHEMA = zod.object({
    format: zod.literal(FORMAT),
    speeds: zod.array(zod.tuple([
        zod.string(),
        zod.string(),
        zod.string(),
        zod.number().min(-MAX_LOG_SPEED).max(MAX_LOG_SPEED),
        zod.number().min(0).max(100),
    ])),
});

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
    return SCHEMA.parse(JSON.parse(text)).speeds.map(([service, name, kind, mean, variance]) => ({
        service,
        name,
        kind,
        mean,
        variance: Math.max(MIN_VARIANCE, variance),
    }));
}

function round(value: number): number {
    return Number(value.toFixed(DIGITS));
}
