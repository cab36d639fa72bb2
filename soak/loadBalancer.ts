/** Chooses the instance for each new request by readiness checks, as the platform's load balancer does. */
import * as events from "node:events";
import * as standin from "../platform/standin/index";
import * as calls from "../src/calls/index";
import type * as clock from "../src/clock/index";
import type * as random from "../src/random/index";
import type * as sites from "./site";

const CHECK_INTERVAL_MS = 1_000;
const MAX_FAILED_CHECKS = 2;

export interface LoadBalancer {
    /** Returns the `IP:PORT` of an instance for a new request. */
    pick(): string;
    /** Returns the number of instances that are ready. */
    countReady(): number;
    close(): void;
}

export function createLoadBalancer(site: sites.Site, time: clock.Clock, source: random.Random): LoadBalancer {
    const client = calls.createHttpClient(1);
    const closed = new AbortController();
    events.setMaxListeners(0, closed.signal);
    const failedChecks = site.instances.map(() => MAX_FAILED_CHECKS);
    /** Polls the readiness of one instance until the load balancer is closed. */
    const pollReadiness = async (number: number) => {
        while (!closed.signal.aborted) {
            const ready = await standin.isReady(client, site.instances[number]!.readinessAddress, CHECK_INTERVAL_MS);
            failedChecks[number] = ready ? 0 : failedChecks[number]! + 1;
            await time.sleep(CHECK_INTERVAL_MS, closed.signal);
        }
    };
    site.instances.forEach((_, number) => void pollReadiness(number));
    const getReady = () => site.callerAddresses.filter((_, number) => failedChecks[number]! < MAX_FAILED_CHECKS);
    return {
        pick: () => {
            const ready = getReady();
            // With fewer than half of the instances ready, readiness is ignored and all instances get requests.
            return source.pick(ready.length * 2 < site.callerAddresses.length ? site.callerAddresses : ready);
        },
        countReady: () => getReady().length,
        close: () => {
            closed.abort();
            client.close();
        },
    };
}
