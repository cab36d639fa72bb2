/**
 * Accounts for what the connections of all servers make the process hold, and closes connections when it is too much.
 *
 * Connections are closed rather than refused when a limit is reached: otherwise clients that hold connections open
 * without using them would lock everyone else out. First go those that hold most for longest, or have kept the process
 * waiting for longest; a caller who sends its request and reads the answer needs milliseconds and is hardly among them.
 */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as limits from "./limits";

/** What a connection waits for. */
export type Phase =
    /** The next request. */
    | "idle"
    /** The rest of a request. */
    | "receiving"
    /** An answer that this process is preparing. */
    | "serving"
    /** An answer that this process is preparing, while the client has sent more than was taken. */
    | "ahead"
    /** The client, which does not take an answer that is ready. */
    | "unread"
    /** The client, to close its side after the last answer. */
    | "closing";

/** Why a connection was closed. */
export type EvictionReason = "connections" | "memory" | "timeout";

export interface ConnectionOptions {
    readonly server: limits.ServerName;
    /** What the connection holds by itself. */
    readonly ownBytes: number;
    /** Longest time in a phase; `Infinity` for no limit. */
    getTimeoutMs(phase: Phase): number;
    /** Ends the connection, or at least releases what it holds beyond `ownBytes`. */
    evict(reason: EvictionReason): void;
}

/** One connection's part of the budget. */
export interface BudgetedConnection {
    /** States what the connection holds, including `ownBytes`. */
    setHeldBytes(bytes: number): void;
    setPhase(phase: Phase): void;
    /** The connection has closed. */
    end(): void;
}

export interface ConnectionBudgetOptions {
    readonly limits: limits.InboundLimits;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
}

/** The budget of all inbound connections of a process. */
export interface ConnectionBudget {
    /** Returns `undefined` if the server has too many connections and none of them may be closed. */
    open(options: ConnectionOptions): BudgetedConnection | undefined;
    /** Whether the connections hold less than their limit. */
    hasRoom(): boolean;
    close(): void;
}

interface Entry {
    readonly options: ConnectionOptions;
    phase: Phase;
    phaseSince: number;
    heldBytes: number;
}

/** A client that has kept the process waiting for so long may lose its connection before idle ones do. */
const PATIENCE_MS = 1_000;
const SWEEP_MS = 1_000;
/** Interval of log lines on closed connections. */
const LOG_INTERVAL_MS = 10_000;
const PHASES: readonly Phase[] = ["idle", "receiving", "serving", "ahead", "unread", "closing"];
/** Phases of which closing a connection leaves no request without its answer, or one whose client sends too much. */
const RELEASING_PHASES: readonly Phase[] = ["receiving", "ahead", "unread"];

export function createConnectionBudget(options: ConnectionBudgetOptions): ConnectionBudget {
    const { limits: max, clock: time, log, meter } = options;
    /** Entries by phase, the one that has been in it for longest first. */
    const byPhase = new Map<Phase, Set<Entry>>(PHASES.map(phase => [phase, new Set()]));
    const counts = new Map<limits.ServerName, number>();
    let heldBytes = 0;
    /** Closed connections since the last log line, by server and reason. */
    const unlogged = new Map<string, number>();
    let loggedAt = -Infinity;

    const findOldest = (phase: Phase, minAgeMs: number, server?: limits.ServerName): Entry | undefined => {
        for (const entry of byPhase.get(phase)!) {
            if (time.now() - entry.phaseSince < minAgeMs) {
                return undefined;
            }
            if (server === undefined || entry.options.server === server) {
                return entry;
            }
        }
        return undefined;
    };
    const remove = (entry: Entry) => {
        if (byPhase.get(entry.phase)!.delete(entry)) {
            heldBytes -= entry.heldBytes;
            entry.heldBytes = 0;
            counts.set(entry.options.server, getCount(entry.options.server) - 1);
        }
    };
    const getCount = (server: limits.ServerName) => counts.get(server) ?? 0;
    const setPhase = (entry: Entry, phase: Phase) => {
        if (entry.phase !== phase && byPhase.get(entry.phase)!.delete(entry)) {
            entry.phase = phase;
            entry.phaseSince = time.now();
            byPhase.get(phase)!.add(entry);
        }
    };
    const evict = (entry: Entry, reason: EvictionReason) => {
        const { server } = entry.options;
        meter.increment("inbound_connections_closed_total", { server, reason });
        const key = `${server} ${reason}`;
        unlogged.set(key, (unlogged.get(key) ?? 0) + 1);
        setPhase(entry, "closing");
        entry.options.evict(reason);
    };
    /** Returns the connection that has held most for longest, beyond what any connection holds. */
    const findLargestHolder = (): Entry | undefined => {
        const now = time.now();
        let largest: Entry | undefined;
        let largestUse = 0;
        for (const phase of RELEASING_PHASES) {
            for (const entry of byPhase.get(phase)!) {
                const use = (entry.heldBytes - entry.options.ownBytes) * (now - entry.phaseSince + 1);
                if (use > largestUse) {
                    largest = entry;
                    largestUse = use;
                }
            }
        }
        return largest;
    };
    const evictForMemory = () => {
        while (heldBytes > max.memoryBytes) {
            const victim = findLargestHolder();
            if (!victim) {
                return;
            }
            evict(victim, "memory");
        }
    };
    const findVictimOf = (server: limits.ServerName) =>
        findOldest("closing", 0, server)
            ?? findOldest("unread", PATIENCE_MS, server)
            ?? findOldest("receiving", PATIENCE_MS, server)
            ?? findOldest("ahead", 0, server)
            ?? findOldest("idle", 0, server)
            ?? findOldest("receiving", 0, server)
            ?? findOldest("unread", 0, server);
    const sweep = () => {
        const now = time.now();
        for (const phase of PHASES) {
            for (const entry of byPhase.get(phase)!) {
                if (now - entry.phaseSince > entry.options.getTimeoutMs(phase)) {
                    evictForTimeout(entry);
                }
            }
        }
        if (unlogged.size > 0 && now - loggedAt >= LOG_INTERVAL_MS) {
            loggedAt = now;
            log.warn("connectionsClosed", { closed: Object.fromEntries(unlogged), heldBytes });
            unlogged.clear();
        }
        cancelSweep = time.setTimer(SWEEP_MS, sweep);
    };
    /** Idle connections that time out are a matter of course and are not reported. */
    const evictForTimeout = (entry: Entry) => {
        if (entry.phase === "idle" || entry.phase === "closing") {
            entry.options.evict("timeout");
        }
        else {
            evict(entry, "timeout");
        }
    };
    let cancelSweep = time.setTimer(SWEEP_MS, sweep);
    const unregisterGauges = meter.registerGauges(() => [
        { metric: "inbound_held_bytes", value: heldBytes },
        ...[...counts].map(([server, value]) =>
            ({ metric: "inbound_connections", labels: { server }, value }) as const
        ),
    ]);

    return {
        open: connection => {
            const { server, ownBytes } = connection;
            while (getCount(server) >= max.connections[server]) {
                const victim = findVictimOf(server);
                if (!victim) {
                    meter.increment("inbound_connections_closed_total", { server, reason: "connections" });
                    return undefined;
                }
                evict(victim, "connections");
                remove(victim);
            }
            const entry: Entry = { options: connection, phase: "idle", phaseSince: time.now(), heldBytes: ownBytes };
            byPhase.get("idle")!.add(entry);
            counts.set(server, getCount(server) + 1);
            heldBytes += ownBytes;
            return {
                setHeldBytes: bytes => {
                    if (byPhase.get(entry.phase)!.has(entry)) {
                        heldBytes += bytes - entry.heldBytes;
                        entry.heldBytes = bytes;
                        evictForMemory();
                    }
                },
                setPhase: phase => setPhase(entry, phase),
                end: () => remove(entry),
            };
        },
        hasRoom: () => heldBytes <= max.memoryBytes,
        close: () => {
            cancelSweep();
            unregisterGauges();
        },
    };
}
