/** Codes of errors that occur before a request is sent. */
const CODES_NOT_SENT: readonly string[] = [
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
    "UND_ERR_DESTROYED",
    "UND_ERR_CLOSED",
];

/**
 * Whether an error of undici proves that the request was not sent. Any error that is not listed counts as sent, because
 * treating a request with a lost answer as not sent would report work that ran as "not run".
 */
export function wasNeverSent(err: unknown): boolean {
    return CODES_NOT_SENT.includes((err as { code?: string; } | undefined)?.code ?? "");
}

/** Reads a response body of at most `maxBytes`; throws when it is longer. */
export async function readBounded(stream: AsyncIterable<Uint8Array>, maxBytes: number): Promise<Uint8Array> {
    const chunks: Uint8Array[] = [];
    let length = 0;
    for await (const chunk of stream) {
        length += chunk.length;
        if (length > maxBytes) {
            throw new Error(`body exceeds ${maxBytes} bytes`);
        }
        chunks.push(chunk);
    }
    return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}
