/**
 * Reusable blocks of memory for what is read from clients.
 *
 * A buffer for each body would leave memory that only the next garbage collection returns, and under many large bodies
 * that is more than the bodies themselves.
 */

/** Size of a block, in bytes. */
export const BLOCK_BYTES = 4_096;

/** Blocks that are kept for reuse: 4 MB. */
const MAX_FREE_BLOCKS = 1_024;

export interface BlockPool {
    take(): Buffer;
    /** Returns a block; its content may be overwritten from now on. */
    release(block: Buffer): void;
    /** Decodes the first `length` bytes of the blocks as UTF-8. */
    decode(blocks: readonly Buffer[], length: number): string;
}

export function createBlockPool(): BlockPool {
    const free: Buffer[] = [];
    /** Holds a whole text while it is decoded: a character may lie in two blocks. */
    let scratch = Buffer.alloc(0);
    return {
        take: () => free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES),
        release: block => {
            if (free.length < MAX_FREE_BLOCKS) {
                free.push(block);
            }
        },
        decode: (blocks, length) => {
            if (blocks.length === 1) {
                return blocks[0]!.toString("utf8", 0, length);
            }
            if (scratch.length < length) {
                scratch = Buffer.allocUnsafeSlow(blocks.length * BLOCK_BYTES);
            }
            blocks.forEach((block, index) => block.copy(scratch, index * BLOCK_BYTES));
            return scratch.toString("utf8", 0, length);
        },
    };
}
