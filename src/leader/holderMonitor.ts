/** What an instance knows of the leader's process without the store: that it is gone, or silent. */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as leaseRecord from "./leaseRecord";

/** A watch of one process. */
export interface ProcessWatch {
    /** Milliseconds since its latest heartbeat; `undefined`: it sends none, or has not yet. */
    getHeartbeatAgeMs(): number | undefined;
    end(): void;
}

export interface HolderMonitorOptions {
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    /** Of this process, which does not watch itself. */
    readonly life: string;
    /** Watches the holder's process; `onGone`: it is gone for certain. */
    watchHolder(address: string, onExit: () => void): ProcessWatch;
    /** The holder that is watched is gone. */
    onExit(): void;
}

export interface HolderMonitor {
    /** Watches the holder of a record that was just seen. */
    follow(record: leaseRecord.LeaseRecord): void;
    /** A holder whose process is gone is not waited for: that costs a lease in which nothing starts. */
    hasExited(record: leaseRecord.LeaseRecord): boolean;
    /** Whether heartbeats of the holder that is watched have stayed away. */
    hasMissedHeartbeats(): boolean;
    end(): void;
}

/** Three heartbeats are missing, and a packet that is lost is sent again sooner. */
const SILENCE_MS = 600;
/** The last renewal of a process that has gone may be seen this much later than its end. */
const LAST_RENEWAL_MS = 200;

export function createHolderMonitor(options: HolderMonitorOptions): HolderMonitor {
    const { clock: time, log } = options;
    let watchedHolder = "";
    let watch: ProcessWatch | undefined;
    /** A holder whose process was told to be gone, and when. */
    let gone: { readonly holder: string; readonly toldAt: number; } | undefined;

    /**
     * A cut that resets connections and refuses new ones looks from behind it as if the holder's process were gone. The
     * holder goes on renewing; without this its lease is taken as soon as the cut ends, and work is stopped for nothing.
     */
    const forgetGone = (record: leaseRecord.LeaseRecord) => {
        if (gone?.holder === record.holder && time.now() - gone.toldAt > LAST_RENEWAL_MS) {
            log.info("holderBack", { instance: record.instance, token: record.token });
            gone = undefined;
            watchedHolder = "";
        }
    };
    return {
        follow: record => {
            forgetGone(record);
            if (record.holder === watchedHolder) {
                return;
            }
            watch?.end();
            watch = undefined;
            watchedHolder = record.holder;
            if (record.watchAddress === "" || record.holder === options.life) {
                return;
            }
            watch = options.watchHolder(record.watchAddress, () => {
                log.warn("holderGone", { instance: record.instance, token: record.token });
                gone = { holder: record.holder, toldAt: time.now() };
                options.onExit();
            });
        },
        hasExited: record => record.holder === gone?.holder,
        hasMissedHeartbeats: () => (watch?.getHeartbeatAgeMs() ?? 0) >= SILENCE_MS,
        end: () => watch?.end(),
    };
}
