/** API keys of client accounts and operators. Only their digests are stored, and they are compared in constant time. */
import * as crypto from "node:crypto";
import type * as schema from "./siteSchema";

interface KeyHolder {
    readonly keys: readonly schema.AccountKey[];
}

/** Looks up the account or operator that a key belongs to. */
export interface Keyring<T> {
    /** Returns `undefined` for an unknown or expired key. `wallTime` is in milliseconds since the epoch. */
    find(key: string, wallTime: number): T | undefined;
}

/** SHA-256 of the key, in hexadecimal, as the configuration holds it. */
export function hashKey(key: string): string {
    return crypto.createHash("sha256").update(key, "utf8").digest("hex");
}

/** Creates a keyring of all keys of the holders. */
export function createKeyring<T extends KeyHolder>(holders: readonly T[]): Keyring<T> {
    const entries = holders.flatMap(holder =>
        holder.keys.map(key => ({ holder, digest: Buffer.from(key.sha256, "hex"), expiresAtMs: key.expiresAtMs }))
    );
    return {
        // Compares with every digest and does not stop at a match. Otherwise the response time would reveal to a caller
        // which entry a guessed key matches, and in how many bytes.
        find: (key, wallTime) => {
            const digest = crypto.createHash("sha256").update(key, "utf8").digest();
            let found: T | undefined;
            for (const entry of entries) {
                const matches = crypto.timingSafeEqual(digest, entry.digest);
                const isValid = entry.expiresAtMs === undefined || wallTime < entry.expiresAtMs;
                if (matches && isValid) {
                    found = entry.holder;
                }
            }
            return found;
        },
    };
}
