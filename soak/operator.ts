/**
 * Simulated operator: writes configurations in quick succession and checks that no instance reverts to an older one.
 */
import * as standin from "../platform/standin/index";
import type * as catalogs from "../src/catalog/index";
import type * as clock from "../src/clock/index";
import type * as random from "../src/random/index";
import type * as sites from "./site";
import type * as violationChecks from "./violations";

export interface Operator {
    readonly queues: readonly catalogs.Queue[];
    readonly key: string;
    readonly violations: readonly string[];
    /** Writes configurations and polls every instance for them until the signal is aborted. */
    run(signal: AbortSignal, faultFreeTimes: violationChecks.FaultFreeTimes): Promise<void>;
}

const MEAN_CHANGE_INTERVAL_MS = 3_000;
const POLL_INTERVAL_MS = 400;
const REQUEST_TIMEOUT_MS = 1_000;
/** Longest time from the store's acknowledgement until an instance applies a configuration. */
const MAX_APPLY_MS = 2_000;
/** Allowance for late timers on a busy machine. */
const TIMER_SLACK_MS = 500;

/**
 * Creates the operator and writes a first configuration. `otherQueues` is the number of queues that no caller uses;
 * they make the configuration as large as that of a large site.
 */
export function createOperator(
    site: sites.Site,
    time: clock.Clock,
    source: random.Random,
    otherQueues: number,
): Operator {
    const client = standin.createCallerClient({ timeoutMs: REQUEST_TIMEOUT_MS, maxConnections: 2 });
    const queues = [createQueue("urgent", 0), createQueue("plan", 1), createQueue("batch", 2)];
    const others = Array.from({ length: otherQueues }, (_, number) => createQueue(`other-${number}`, 2));
    const key = `key-${source.nextInt(1e6)}`;
    const violations: string[] = [];
    /** Times at which the store acknowledged each version. */
    const acknowledgedAt = new Map<number, number>();
    let version = 0;

    const writeConfiguration = () => {
        version += 1 + source.nextInt(5);
        site.configure({
            version,
            // Each version has a marker queue of its own, which shows whether an instance has applied that version.
            queues: [...queues, ...others, createQueue(getMarkerQueueName(version), 2)],
            services: [{ name: "service", refusesOverload: false, spare: false }],
            accounts: [{ name: "office", keys: [key], guaranteedAccelerators: GUARANTEED_ACCELERATORS }],
            limits: { headerBytes: 16_384, bodyBytes: 262_144, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        });
        acknowledgedAt.set(version, time.now());
    };
    writeConfiguration();
    /** Whether the instance serves the marker queue of this version; `undefined` if the reply does not state it. */
    const servesVersion = async (instance: number, polledVersion: number) => {
        const reply = await client.countWaiting(
            site.instances[instance]!.callerAddress,
            createQueue(getMarkerQueueName(polledVersion), 2),
            key,
        );
        return reply.kind === "unknownQueue" ? false : reply.kind === "waiting" ? true : undefined;
    };
    const watch = async (instance: number, signal: AbortSignal, faultFreeTimes: violationChecks.FaultFreeTimes) => {
        let maxServedVersion = 0;
        let incarnation = 0;
        while (!signal.aborted) {
            await time.sleep(POLL_INTERVAL_MS, signal);
            const { getIncarnation, name } = site.instances[instance]!;
            if (getIncarnation() !== incarnation) {
                incarnation = getIncarnation();
                maxServedVersion = 0;
            }
            const polledVersion = version;
            const sentAt = time.now();
            const served = await servesVersion(instance, polledVersion);
            if (getIncarnation() !== incarnation) {
                continue;
            }
            if (served) {
                maxServedVersion = Math.max(maxServedVersion, polledVersion);
            }
            if (served !== false || polledVersion !== version) {
                // A newer version, which has another marker queue, may have been applied meanwhile.
                continue;
            }
            const applyDeadline = acknowledgedAt.get(polledVersion)! + MAX_APPLY_MS + TIMER_SLACK_MS;
            if (polledVersion === maxServedVersion) {
                violations.push(`${name} reverted to a version older than configuration ${polledVersion}`);
            }
            else if (sentAt > applyDeadline && faultFreeTimes.isFaultFree(applyDeadline - MAX_APPLY_MS, time.now())) {
                violations.push(`${name} did not apply configuration ${polledVersion} in time`);
            }
        }
    };
    return {
        queues,
        key,
        violations,
        run: async (signal, faultFreeTimes) => {
            site.instances.forEach((_, number) => void watch(number, signal, faultFreeTimes));
            while (!signal.aborted) {
                await time.sleep(source.nextExponential(MEAN_CHANGE_INTERVAL_MS), signal);
                writeConfiguration();
            }
        },
    };
}

/** Guarantee of the account; it leaves accelerators free for jobs that are not guaranteed. */
const GUARANTEED_ACCELERATORS = 16;

function getMarkerQueueName(version: number): string {
    return `mark-${version}`;
}

function createQueue(name: string, priority: number): catalogs.Queue {
    return {
        name,
        host: "soak.example",
        pathPrefix: `/${name}/`,
        service: "service",
        priority,
        // Allows for random failures of a task in addition to crashes of a job that takes down its workers.
        maxAttempts: 4,
        stretch: 3,
        objectiveMs: 1_000,
        needsKey: true,
    };
}
