/** Detects without the store that the lease holder's process has exited or sends no heartbeats. */
import type * as clock from "../../clock/index";
import type * as observe from "../../observe/index";
import type * as leaseRecord from "./leaseRecord";

/** Watches one process. */
export interface ProcessWatch {
    /** Milliseconds since the latest heartbeat; `undefined` if none has been received. */
    getHeartbeatAgeMs(): number | undefined;
    end(): void;
}

export interface HolderMonitorOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    /** Incarnation of this process, which does not watch itself. */
    readonly incarnationId: string;
    /** Watches the holder's process; `onExit` is called when it is certain to have exited. */
    watchHolder(address: string, onExit: () => void): ProcessWatch;
    /** The watched holder's process has exited. */
    onExit(): void;
}

/** Monitors the process of the present lease holder. */
export interface HolderMonitor {
    /** Watches the holder of the latest record. */
    follow(record: leaseRecord.LeaseRecord): void;
    /** Whether the holder's process has exited: waiting for its lease to expire would delay every start. */
    hasExited(record: leaseRecord.LeaseRecord): boolean;
    /** Whether the watched holder's heartbeats are overdue. */
    hasMissedHeartbeats(): boolean;
    end(): void;
}

/** Interval of three heartbeats; a lost packet is retransmitted sooner. */
const HEARTBEAT_TIMEOUT_MS = 600;
/** The last renewal of a process may become visible this long after the process has exited. */
const LAST_RENEWAL_DELAY_MS = 200;

export function createHolderMonitor(options: HolderMonitorOptions): HolderMonitor {
    const { clock: time, log } = options;
    let watchedHolder = "";
    let watch: ProcessWatch | undefined;
    /** The holder whose process was reported to have exited, and when. */
    let exited: { readonly holder: string; readonly reportedAt: number; } | undefined;

    /**
     * A network partition that resets connections and refuses new ones looks like the exit of the holder's process. If
     * the holder still renews its lease, the report was wrong: otherwise the lease would be taken when the partition
     * ends, and work would be stopped without need.
     */
    const clearStaleExit = (record: leaseRecord.LeaseRecord) => {
        if (exited?.holder === record.holder && time.now() - exited.reportedAt > LAST_RENEWAL_DELAY_MS) {
            log.info("holderBack", { instance: record.instance, token: record.token });
            exited = undefined;
            watchedHolder = "";
        }
    };
    return {
        follow: record => {
            clearStaleExit(record);
            if (record.holder === watchedHolder) {
                return;
            }
            watch?.end();
            watch = undefined;
            watchedHolder = record.holder;
            if (record.watchAddress === "" || record.holder === options.incarnationId) {
                return;
            }
            watch = options.watchHolder(record.watchAddress, () => {
                log.warn("holderGone", { instance: record.instance, token: record.token });
                exited = { holder: record.holder, reportedAt: time.now() };
                options.onExit();
            });
        },
        hasExited: record => record.holder === exited?.holder,
        hasMissedHeartbeats: () => (watch?.getHeartbeatAgeMs() ?? 0) >= HEARTBEAT_TIMEOUT_MS,
        end: () => watch?.end(),
    };
}
