/** Reads a request's body into memory that is accounted for. */
import type * as http from "node:http";
import * as blockPool from "./blockPool";

export type BodyResult =
    | { readonly kind: "read"; readonly text: string; }
    | { readonly kind: "tooLong"; }
    /** The connection has closed, or `abort` was called. */
    | { readonly kind: "aborted"; };

export interface BodyReading {
    readonly result: Promise<BodyResult>;
    /** Releases what has been read. */
    abort(): void;
}

export interface BodyOptions {
    readonly maxBytes: number;
    readonly pool: blockPool.BlockPool;
    /** Called with the memory that the body takes, whenever it grows. */
    onGrowth(bytes: number): void;
}

/**
 * Reads the whole body; stops as soon as it is known to be too long.
 *
 * The chunks are copied: a chunk of one byte kept as it came would hold an object and the whole buffer that it was
 * received in.
 */
export function readBody(req: http.IncomingMessage, { maxBytes, pool, onGrowth }: BodyOptions): BodyReading {
    const blocks: Buffer[] = [];
    let length = 0;
    let isFinished = false;
    let resolveResult!: (result: BodyResult) => void;
    const result = new Promise<BodyResult>(resolve => {
        resolveResult = resolve;
    });
    const finish = (outcome: BodyResult) => {
        if (!isFinished) {
            isFinished = true;
            req.off("data", add);
            blocks.forEach(pool.release);
            resolveResult(outcome);
        }
    };
    const add = (chunk: Buffer) => {
        if (length + chunk.length > maxBytes) {
            finish({ kind: "tooLong" });
            return;
        }
        const blockCount = blocks.length;
        for (let copied = 0; copied < chunk.length;) {
            const offset = length % blockPool.BLOCK_BYTES;
            if (offset === 0) {
                blocks.push(pool.take());
            }
            const count = chunk.copy(blocks.at(-1)!, offset, copied);
            copied += count;
            length += count;
        }
        if (blocks.length > blockCount) {
            onGrowth(blocks.length * blockPool.BLOCK_BYTES);
        }
    };
    const abort = () => finish({ kind: "aborted" });
    if (Number(req.headers["content-length"] ?? 0) > maxBytes) {
        finish({ kind: "tooLong" });
    }
    else {
        req.on("data", add);
        req.once("end", () => finish({ kind: "read", text: pool.decode(blocks, length) }));
        req.once("error", abort);
        req.once("close", abort);
    }
    return { result, abort };
}
