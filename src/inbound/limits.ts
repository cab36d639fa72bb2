/** Limits on what inbound connections may make the process hold, derived from the limits of its machine. */

/** The servers of an instance. */
export const ServerName = {
    /** Callers' requests. */
    Callers: "callers",
    /** The load balancer's readiness check. */
    Readiness: "readiness",
    /** Calls from other instances. */
    Peers: "peers",
    /** Connections on which other instances watch this process. */
    Watch: "watch",
    Metrics: "metrics",
} as const;
export type ServerName = (typeof ServerName)[keyof typeof ServerName];

/** Limits of the process's machine. */
export interface MachineLimits {
    readonly memoryBytes: number;
    /** Open files and sockets of a process. */
    readonly descriptors: number;
}

/** Limits of the inbound connections. */
export interface InboundLimits {
    /** What all connections together may hold, as the budget estimates it. */
    readonly memoryBytes: number;
    /** Maximum number of open connections of each server. */
    readonly connections: Readonly<Record<ServerName, number>>;
}

/** Limits that an operator sets in place of the derived ones. */
export interface InboundOverrides {
    readonly memoryBytes?: number;
    readonly callerConnections?: number;
}

/** Descriptors of a process that are reserved for files. */
const FILE_DESCRIPTORS = 200;
const MEMORY_SHARE = 1 / 8;
/**
 * Shares of the descriptors left for sockets. Three eighths remain for the process's own calls: a leader keeps up to
 * four connections to each worker.
 */
const CONNECTION_SHARES: InboundLimits["connections"] = {
    callers: 1 / 8,
    peers: 1 / 4,
    watch: 1 / 4,
    readiness: 1 / 64,
    metrics: 1 / 64,
};
/** Share of the descriptors that inbound connections may take altogether. */
const MAX_CONNECTION_SHARE = 3 / 4;
/** Share of the machine's memory that inbound connections may hold. */
const MAX_MEMORY_SHARE = 1 / 2;
const MIN_CONNECTIONS = 4;

/** Derives the limits from the machine's; what `overrides` sets is taken as it is. */
export function deriveInboundLimits(machine: MachineLimits, overrides: InboundOverrides = {}): InboundLimits {
    const sockets = getSockets(machine);
    const getConnections = (server: ServerName) =>
        Math.max(MIN_CONNECTIONS, Math.floor(sockets * CONNECTION_SHARES[server]));
    return {
        memoryBytes: overrides.memoryBytes ?? Math.floor(machine.memoryBytes * MEMORY_SHARE),
        connections: {
            callers: overrides.callerConnections ?? getConnections("callers"),
            peers: getConnections("peers"),
            watch: getConnections("watch"),
            readiness: getConnections("readiness"),
            metrics: getConnections("metrics"),
        },
    };
}

/** Returns the reasons why what an operator has set does not fit the machine; empty if it does. */
export function checkOverrides(machine: MachineLimits, overrides: InboundOverrides): readonly string[] {
    const { connections } = deriveInboundLimits(machine, overrides);
    const allConnections = Object.values(connections).reduce((sum, count) => sum + count, 0);
    const maxConnections = Math.floor(getSockets(machine) * MAX_CONNECTION_SHARE);
    const maxMemoryBytes = Math.floor(machine.memoryBytes * MAX_MEMORY_SHARE);
    const problems: string[] = [];
    if (overrides.callerConnections !== undefined && allConnections > maxConnections) {
        problems.push(`${allConnections} inbound connections exceed the ${maxConnections} that its descriptors allow`);
    }
    if (overrides.memoryBytes !== undefined && overrides.memoryBytes > maxMemoryBytes) {
        problems.push(`${overrides.memoryBytes} bytes held for clients exceed the ${maxMemoryBytes} that it allows`);
    }
    return problems;
}

function getSockets({ descriptors }: MachineLimits): number {
    return Math.max(0, descriptors - FILE_DESCRIPTORS);
}
