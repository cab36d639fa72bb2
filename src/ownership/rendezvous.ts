/**
 * Rendezvous hashing (Thaler and Ravishankar 1998): everyone who knows the same candidates picks the same one, and a
 * candidate that comes or goes moves only the keys it takes or held.
 */
import * as crypto from "node:crypto";

/** The candidates, best first. */
export function rankByRendezvous(key: string, candidates: readonly string[]): string[] {
    return candidates
        .map(candidate => ({ candidate, weight: getWeight(key, candidate) }))
        .sort((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1))
        .map(ranked => ranked.candidate);
}

/** `undefined` when there are no candidates. */
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

/** Uniform in [0, 2^32). The two names are hashed once each and their hashes mixed, since plans weigh many pairs. */
export function getWeight(key: string, candidate: string): number {
    return mix(hashName(key) ^ Math.imul(hashName(candidate), 0x9e3779b1));
}

/** Names are ids of racks, workers, zones, instances and blocks; request ids are weighed uncached. */
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

/** The finaliser of MurmurHash3: each input bit changes each output bit with probability near one half. */
function mix(value: number): number {
    let mixed = value;
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}
