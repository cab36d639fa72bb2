/** Which instances take new connections, as the platform's balancer decides it from their readiness checks. */
import * as events from "node:events";
import * as standin from "../platform/standin/index";
import * as calls from "../src/calls/index";
import type * as clock from "../src/clock/index";
import type * as random from "../src/random/index";
import type * as sites from "./site";

const CHECK_EVERY_MS = 1_000;
const MOST_MISSES = 2;

export interface LoadBalancer {
    /** Entry of an instance for a new request. */
    pick(): string;
    /** Instances that are ready. */
    countReady(): number;
    close(): void;
}

export function createLoadBalancer(site: sites.Site, time: clock.Clock, source: random.Random): LoadBalancer {
    const client = calls.createHttpClient(1);
    const stopped = new AbortController();
    events.setMaxListeners(0, stopped.signal);
    const misses = site.instances.map(() => MOST_MISSES);
    const check = async (number: number) => {
        while (!stopped.signal.aborted) {
            const ready = await standin.isReady(client, site.instances[number]!.readinessAddress, CHECK_EVERY_MS);
            misses[number] = ready ? 0 : misses[number]! + 1;
            await time.sleep(CHECK_EVERY_MS, stopped.signal);
        }
    };
    site.instances.forEach((_, number) => void check(number));
    const getReady = () => site.callerAddresses.filter((_, number) => misses[number]! < MOST_MISSES);
    return {
        pick: () => {
            const ready = getReady();
            return source.pick(ready.length * 2 < site.callerAddresses.length ? site.callerAddresses : ready);
        },
        countReady: () => getReady().length,
        close: () => {
            stopped.abort();
            client.close();
        },
    };
}
