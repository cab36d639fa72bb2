/** Named counters of a process. */
import * as hotShots from "hot-shots";

/** Counters that an operator can read from the instance; also sent to a StatsD server if one is configured. */
export interface Counters {
    increment(name: string, by?: number): void;
    /** All counters since the start of the process, sorted by name. */
    getAll(): Readonly<Record<string, number>>;
    close(): void;
}

interface CounterOptions {
    /** `host:port` of the StatsD server; if absent, nothing is sent. */
    readonly statsd?: string;
    readonly instance: string;
}

/** Creates counters that start at 0. */
export function createCounters(options: CounterOptions): Counters {
    const values = new Map<string, number>();
    const client = options.statsd ? createClient(options.statsd, options.instance) : undefined;
    return {
        increment: (name, by = 1) => {
            values.set(name, (values.get(name) ?? 0) + by);
            client?.increment(name, by);
        },
        getAll: () => Object.fromEntries([...values].sort(([a], [b]) => a < b ? -1 : 1)),
        close: () => client?.close(() => undefined),
    };
}

function createClient(address: string, instance: string): hotShots.StatsD {
    const separator = address.lastIndexOf(":");
    return new hotShots.StatsD({
        host: address.slice(0, separator),
        port: Number(address.slice(separator + 1)),
        prefix: "plantainchute.",
        globalTags: { instance },
        maxBufferSize: 1400,
        // A metrics server that is down must not disturb the instance, so its errors are ignored.
        errorHandler: () => undefined,
    });
}
