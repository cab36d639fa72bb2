/** Announces a stand-in worker at the platform's membership list again and again, as the platform's own agent does. */
import * as undici from "undici";
import type * as clock from "../../src/clock/index";

const INTERVAL_MS = 1000;

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
            // The platform is down; the next round tries again.
        }
        time.setTimer(INTERVAL_MS, () => void announce());
    };
    await announce();
}
