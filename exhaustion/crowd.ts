/** Many clients that each send the same bytes over a connection of their own and read no answer. */
import * as net from "node:net";

export interface CrowdOptions {
    /** `IP:PORT`. */
    readonly address: string;
    readonly connections: number;
    /** What each client sends, piece by piece. */
    readonly pieces: readonly Buffer[];
}

export interface Crowd {
    /** Resolves when each client has sent all, has been disconnected for good, or cannot send on. */
    settled: Promise<void>;
    close(): void;
}

/** A client that is disconnected connects again this many times. */
const MAX_RECONNECTS = 2;
/** A client that could send nothing for this long is taken to be held back. */
const STALL_MS = 3_000;
/** Time for which a settled crowd is held, so that the process has received what the clients have sent. */
const HOLD_MS = 1_000;
const CHECK_MS = 100;

export function startCrowd(options: CrowdOptions): Crowd {
    const clients = Array.from({ length: options.connections }, () => startClient(options));
    const settled = new Promise<void>(resolve => {
        const timer = setInterval(() => {
            if (clients.every(client => client.isSettled())) {
                clearInterval(timer);
                setTimeout(resolve, HOLD_MS);
            }
        }, CHECK_MS);
    });
    return { settled, close: () => clients.forEach(client => client.close()) };
}

interface Client {
    isSettled(): boolean;
    close(): void;
}

function startClient({ address, pieces }: CrowdOptions): Client {
    const [host, port] = address.split(":") as [string, string];
    let socket: net.Socket;
    let reconnects = 0;
    let hasEnded = false;
    let sentAll = false;
    let progressAt = Date.now();

    const connect = () => {
        sentAll = false;
        socket = net.connect(Number(port), host);
        socket.pause();
        // Without a listener the error that precedes "close" would be thrown.
        socket.on("error", () => undefined);
        socket.once("close", () => {
            if (!hasEnded && reconnects < MAX_RECONNECTS) {
                reconnects++;
                progressAt = Date.now();
                connect();
            }
            else {
                hasEnded = true;
            }
        });
        let next = 0;
        const send = () => {
            progressAt = Date.now();
            let accepted = true;
            while (accepted && next < pieces.length) {
                accepted = socket.write(pieces[next]!);
                next++;
            }
            sentAll = next === pieces.length;
        };
        socket.on("drain", send);
        socket.once("connect", send);
    };
    connect();
    return {
        isSettled: () => hasEnded || sentAll && socket.writableLength === 0 || Date.now() - progressAt >= STALL_MS,
        close: () => {
            hasEnded = true;
            socket.destroy();
        },
    };
}
