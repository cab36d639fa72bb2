/** A queue of bytes in reusable blocks, so that many small pieces take no more memory than their bytes. */
import * as blockPool from "./blockPool";

export interface BlockQueue {
    /** Memory that the queued bytes take. */
    getHeldBytes(): number;
    add(bytes: Buffer): void;
    /** Removes and copies up to `maxBytes` bytes; `undefined` if there are none. */
    take(maxBytes: number): Buffer | undefined;
    clear(): void;
}

export function createBlockQueue(pool: blockPool.BlockPool): BlockQueue {
    const blocks: Buffer[] = [];
    /** Offset of the first byte in the first block. */
    let start = 0;
    /** Offset behind the last byte in the last block. */
    let end = 0;
    return {
        getHeldBytes: () => blocks.length * blockPool.BLOCK_BYTES,
        add: bytes => {
            for (let copied = 0; copied < bytes.length;) {
                if (blocks.length === 0 || end === blockPool.BLOCK_BYTES) {
                    blocks.push(pool.take());
                    end = 0;
                }
                const count = bytes.copy(blocks.at(-1)!, end, copied);
                copied += count;
                end += count;
            }
        },
        take: maxBytes => {
            const [first] = blocks;
            if (!first) {
                return undefined;
            }
            const available = blocks.length === 1 ? end : blockPool.BLOCK_BYTES;
            const until = Math.min(available, start + maxBytes);
            // The reader may keep the slice beyond the time at which the block is used again.
            const slice = Buffer.from(first.subarray(start, until));
            start = until;
            if (start === available) {
                pool.release(blocks.shift()!);
                start = 0;
            }
            return slice;
        },
        clear: () => {
            blocks.forEach(pool.release);
            blocks.length = 0;
            start = 0;
        },
    };
}
