/** Keys of client accounts and operators: only their digests are stored, and they are compared in constant time. */
import * as crypto from "node:crypto";
import type * as schema from "./siteSchema";

interface KeyHolder {
    readonly keys: readonly schema.AccountKey[];
}

/** Finds who a key belongs to. */
export interface Keyring<T> {
    /** `undefined` for an unknown or expired key. `wallTime` in milliseconds since the epoch. */
    find(key: string, wallTime: number): T | undefined;
}

export function hashKey(key: string): string {
    return crypto.createHash("sha256").update(key, "utf8").digest("hex");
}

export function createKeyring<T extends KeyHolder>(holders: readonly T[]): Keyring<T> {
    const entries = holders.flatMap(holder =>
        holder.keys.map(key => ({ holder, digest: Buffer.from(key.sha256, "hex"), expiresAtMs: key.expiresAtMs }))
    );
    return {
        // Compares with every digest, without stopping at a match: the time taken would otherwise tell a caller how far
        // down the list, and in how many bytes, its guess agreed.
        find: (key, wallTime) => {
            const digest = crypto.createHash("sha256").update(key, "utf8").digest();
            let found: T | undefined;
            for (const entry of entries) {
                const same = crypto.timingSafeEqual(digest, entry.digest);
                const valid = entry.expiresAtMs === undefined || wallTime < entry.expiresAtMs;
                if (same && valid) {
                    found = entry.holder;
                }
            }
            return found;
        },
    };
}
