/**
 * A stream that passes on what a socket receives in small slices, and only while the reader may take more.
 *
 * Without it Node.js's HTTP server begins all requests of a buffer at once, however many answers of the connection are
 * under way or unread. The socket itself is never paused: what it would leave in the system's buffers could not be
 * accounted for, and a client's disconnection would go unnoticed.
 */
import type * as net from "node:net";
import * as stream from "node:stream";
import type * as blockPool from "./blockPool";
import * as blockQueue from "./blockQueue";
import type * as turns from "./turns";

export interface PacedSocketOptions {
    readonly socket: net.Socket;
    readonly turns: turns.Turns;
    readonly pool: blockPool.BlockPool;
    /** Whether the reader may be given more input now. */
    mayDeliver(): boolean;
    /** Bytes that may be passed on at once, since they are known to begin no request. */
    getSafeBytes(): number;
    /** Called before a slice is passed on. */
    onDeliver(bytes: number): void;
    /** Called when input has been queued. */
    onQueued(): void;
}

export interface PacedSocket {
    readonly stream: stream.Duplex;
    /** Memory of what was received and not passed on. */
    getQueuedBytes(): number;
    /** Bytes that were written and not sent. */
    getUnsentBytes(): number;
    /** Passes on more input if `mayDeliver` has become true. */
    resume(): void;
    /** Passes on no more input; what still arrives is discarded. */
    stop(): void;
}

/** At most some twenty of the smallest requests. */
const SLICE_BYTES = 512;
/** A client that sends more than this after its last answer does not wait for it. */
const MAX_DISCARDED_BYTES = 262_144;

export function createPacedSocket(options: PacedSocketOptions): PacedSocket {
    const { socket } = options;
    const queue = blockQueue.createBlockQueue(options.pool);
    let hasEnded = false;
    let isStopped = false;
    let discardedBytes = 0;

    const duplex = new stream.Duplex({
        // One slice at a time, since what is buffered here is out of reach of `stop`.
        readableHighWaterMark: 1,
        read: () => schedule(),
        write: (chunk: Buffer, _encoding, callback) => {
            socket.write(chunk, err => callback(err));
        },
        final: callback => {
            socket.end(() => callback());
        },
        destroy: (err, callback) => {
            queue.clear();
            socket.destroy();
            callback(err);
        },
    });
    const deliver = (): boolean => {
        if (duplex.destroyed || !options.mayDeliver()) {
            return false;
        }
        const slice = queue.take(Math.max(SLICE_BYTES, options.getSafeBytes()));
        if (!slice) {
            return false;
        }
        options.onDeliver(slice.length);
        if (isStopped || duplex.destroyed) {
            return false;
        }
        const wantsMore = duplex.push(slice);
        endIfDelivered();
        return wantsMore && queue.getHeldBytes() > 0;
    };
    const schedule = () => {
        if (queue.getHeldBytes() > 0) {
            options.turns.schedule(deliver);
        }
    };
    const endIfDelivered = () => {
        if (hasEnded && queue.getHeldBytes() === 0 && !duplex.destroyed) {
            // eslint-disable-next-line no-restricted-syntax -- the end of a stream is `null`
            duplex.push(null);
        }
    };
    const destroyWhenSent = () => {
        if (duplex.writableFinished) {
            duplex.destroy();
        }
        else {
            duplex.once("finish", () => duplex.destroy());
        }
    };
    socket.on("data", (chunk: Buffer) => {
        if (isStopped || duplex.destroyed) {
            discardedBytes += chunk.length;
            if (discardedBytes > MAX_DISCARDED_BYTES) {
                duplex.destroy();
            }
            return;
        }
        queue.add(chunk);
        schedule();
        if (queue.getHeldBytes() > 0) {
            options.onQueued();
        }
    });
    socket.on("end", () => {
        hasEnded = true;
        if (isStopped) {
            destroyWhenSent();
            return;
        }
        endIfDelivered();
    });
    socket.on("error", err => duplex.destroy(err));
    socket.on("close", () => duplex.destroy());
    return {
        stream: duplex,
        getQueuedBytes: queue.getHeldBytes,
        getUnsentBytes: () => socket.writableLength,
        resume: schedule,
        stop: () => {
            isStopped = true;
            queue.clear();
            if (hasEnded) {
                destroyWhenSent();
            }
        },
    };
}
