/** Periodically announces a stand-in worker to the platform's membership list, as the platform's agent does. */
import * as undici from "undici";
import type * as clock from "../../src/clock/index";

const ANNOUNCE_INTERVAL_MS = 1000;

export async function announceWorker(
    time: clock.Clock,
    origin: string,
    worker: { readonly id: string; readonly zone: string; },
): Promise<void> {
    const body = JSON.stringify({ kind: "worker", id: worker.id, zone: worker.zone, state: "live" });
    const announce = async () => {
        try {
            const res = await undici.request(`${origin}/membership/announce`, { method: "POST", body });
            await res.body.dump();
        }
        catch {
            // The platform is unreachable; the next announcement retries.
        }
        time.setTimer(ANNOUNCE_INTERVAL_MS, () => void announce());
    };
    await announce();
}
