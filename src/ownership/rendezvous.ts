/**
 * Rendezvous hashing (Thaler and Ravishankar 1998): all instances with the same candidates pick the same one. When a
 * candidate is added or removed, only the keys that it gains or held change their candidate.
 */
import * as crypto from "node:crypto";

/** The candidates in descending order of weight. */
export function rankByRendezvous(key: string, candidates: readonly string[]): string[] {
    return candidates
        .map(candidate => ({ candidate, weight: getWeight(key, candidate) }))
        .sort((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1))
        .map(ranked => ranked.candidate);
}

/** The candidate of the highest weight; `undefined` when there are no candidates. */
export function pickByRendezvous(key: string, candidates: readonly string[]): string | undefined {
    let best: string | undefined;
    let bestWeight = -1;
    for (const candidate of candidates) {
        const weight = getWeight(key, candidate);
        if (weight > bestWeight || (weight === bestWeight && candidate < best!)) {
            best = candidate;
            bestWeight = weight;
        }
    }
    return best;
}

/**
 * The weight of a candidate for a key, uniform in [0, 2^32). Each name is hashed once and the hashes are mixed, because
 * plans compute the weights of many pairs.
 */
export function getWeight(key: string, candidate: string): number {
    return mix(hashName(key) ^ Math.imul(hashName(candidate), 0x9e3779b1));
}

/** Maximum number of cached hashes, of ids of racks, workers, zones, instances and blocks, and of request digests. */
const MAX_CACHED_NAMES = 50_000;
const hashes = new Map<string, number>();

function hashName(name: string): number {
    const known = hashes.get(name);
    if (known !== undefined) {
        return known;
    }
    const hash = crypto.createHash("md5").update(name, "utf8").digest().readUInt32BE(0);
    if (hashes.size >= MAX_CACHED_NAMES) {
        hashes.clear();
    }
    hashes.set(name, hash);
    return hash;
}

/** The finalizer of MurmurHash3: each input bit changes each output bit with a probability of about one half. */
function mix(value: number): number {
    let mixed = value;
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}
