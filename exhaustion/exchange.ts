/** Raw HTTP exchanges with the process under test. */
import * as net from "node:net";
import * as underTest from "./instanceUnderTest";

/** A job that is valid and small. */
export const JOB = { spec: "p", steps: [{ count: 1, cpu: 100, "mem-mb": 10 }] };
/** Headers that a caller sends with each request. */
export const AUTHORIZED = `Host: ${underTest.QUEUE.host}\r\nAuthorization: Token ${underTest.KEY}\r\n`;

/** Path of the job with this number. */
export function getJobPath(number: number): string {
    return underTest.QUEUE.pathPrefix + number.toString(16).padStart(16, "0");
}

/** A request with a body of known length. */
export function encodePost(path: string, body: string, headers = ""): string {
    return `POST ${path} HTTP/1.1\r\n${AUTHORIZED}${headers}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
}

/** The head of a request with a chunked body. */
export function encodeChunkedHead(path: string): string {
    return `POST ${path} HTTP/1.1\r\n${AUTHORIZED}Transfer-Encoding: chunked\r\n\r\n`;
}

export function encodeChunk(text: string): string {
    return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

/** A connection that collects the statuses of the answers that it receives. */
export interface Exchange {
    readonly socket: net.Socket;
    /** Resolves with the statuses once there are `count` of them, or the connection has closed. */
    getStatuses(count: number): Promise<readonly number[]>;
}

export function openExchange(address: string): Exchange {
    const [host, port] = address.split(":") as [string, string];
    const socket = net.connect(Number(port), host);
    let text = "";
    let hasClosed = false;
    const listStatuses = () => [...text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(match => Number(match[1]));
    socket.on("data", chunk => {
        text += String(chunk);
    });
    // Without a listener the error that precedes "close" would be thrown.
    socket.on("error", () => undefined);
    socket.on("close", () => {
        hasClosed = true;
    });
    return {
        socket,
        getStatuses: count =>
            new Promise(resolve => {
                const check = () => {
                    if (hasClosed || listStatuses().length >= count) {
                        socket.off("data", check);
                        socket.off("close", check);
                        resolve(listStatuses());
                    }
                };
                socket.on("data", check);
                socket.on("close", check);
                check();
            }),
    };
}

/** Submits a small job on a connection of its own; returns the statuses received, which is one if it was answered. */
export async function submitJob(address: string, number: number): Promise<readonly number[]> {
    const exchange = openExchange(address);
    exchange.socket.write(encodePost(getJobPath(number), JSON.stringify(JOB)));
    const statuses = await exchange.getStatuses(1);
    exchange.socket.destroy();
    return statuses;
}
