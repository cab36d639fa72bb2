/** The operator: configurations in quick succession, and a check that no instance ever goes back to an older one. */
import * as standin from "../platform/standin/index";
import type * as catalogs from "../src/catalog/index";
import type * as clock from "../src/clock/index";
import type * as random from "../src/random/index";
import type * as sites from "./site";
import type * as verdict from "./violations";

export interface Operator {
    readonly queues: readonly catalogs.Queue[];
    readonly key: string;
    readonly violations: readonly string[];
    /** Writes configurations and asks every instance for them until the signal. */
    run(signal: AbortSignal, calm: verdict.FaultFreeTimes): Promise<void>;
}

const CHANGE_EVERY_MS = 3_000;
const ASK_EVERY_MS = 400;
const PATIENCE_MS = 1_000;
/** From the store's acknowledgement until an instance has to follow. */
const APPLY_MS = 2_000;
/** Timers of a busy machine, beside the bound. */
const SLACK_MS = 500;

/** `otherQueues` are beside those that callers use, and make the configuration as large as on a site that has grown. */
export function createOperator(
    site: sites.Site,
    time: clock.Clock,
    source: random.Random,
    otherQueues: number,
): Operator {
    const client = standin.createCallerClient({ timeoutMs: PATIENCE_MS, maxConnections: 2 });
    const queues = [createQueue("urgent", 0), createQueue("plan", 1), createQueue("batch", 2)];
    const others = Array.from({ length: otherQueues }, (_, number) => createQueue(`other-${number}`, 2));
    const key = `key-${source.nextInt(1e6)}`;
    const breaches: string[] = [];
    /** When each version was acknowledged. */
    const acknowledgedAt = new Map<number, number>();
    let version = 0;

    const change = () => {
        version += 1 + source.nextInt(5);
        site.configure({
            version,
            // The queue of each version tells which one is in force.
            queues: [...queues, ...others, createQueue(getMark(version), 2)],
            services: [{ name: "service", refusesOverload: false, spare: false }],
            accounts: [{ name: "office", keys: [key], guaranteedAccelerators: GUARANTEED }],
            limits: { headerBytes: 16_384, bodyBytes: 262_144, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        });
        acknowledgedAt.set(version, time.now());
    };
    change();
    /** Whether the instance serves the queue that only this version has; `undefined` where it does not say. */
    const serves = async (instance: number, asked: number) => {
        const reply = await client.countWaiting(
            site.instances[instance]!.callerAddress,
            createQueue(getMark(asked), 2),
            key,
        );
        return reply.kind === "unknownQueue" ? false : reply.kind === "waiting" ? true : undefined;
    };
    const watch = async (instance: number, signal: AbortSignal, calm: verdict.FaultFreeTimes) => {
        let newest = 0;
        let life = 0;
        while (!signal.aborted) {
            await time.sleep(ASK_EVERY_MS, signal);
            const { getIncarnation: getLife, name } = site.instances[instance]!;
            if (getLife() !== life) {
                life = getLife();
                newest = 0;
            }
            const asked = version;
            const sentAt = time.now();
            const known = await serves(instance, asked);
            if (getLife() !== life) {
                continue;
            }
            if (known) {
                newest = Math.max(newest, asked);
            }
            if (known !== false || asked !== version) {
                // A newer one, written meanwhile, may be in force by now, and has a mark of its own.
                continue;
            }
            const due = acknowledgedAt.get(asked)! + APPLY_MS + SLACK_MS;
            if (asked === newest) {
                breaches.push(`${name} went back from configuration ${asked}`);
            }
            else if (sentAt > due && calm.isFaultFree(due - APPLY_MS, time.now())) {
                breaches.push(`${name} did not follow configuration ${asked} in time`);
            }
        }
    };
    return {
        queues,
        key,
        violations: breaches,
        run: async (signal, calm) => {
            site.instances.forEach((_, number) => void watch(number, signal, calm));
            while (!signal.aborted) {
                await time.sleep(source.nextExponential(CHANGE_EVERY_MS), signal);
                change();
            }
        },
    };
}

/** Of the account's jobs, beside which there is room for others. */
const GUARANTEED = 16;

function getMark(version: number): string {
    return `mark-${version}`;
}

function createQueue(name: string, priority: number): catalogs.Queue {
    return {
        name,
        host: "soak.example",
        pathPrefix: `/${name}/`,
        service: "service",
        priority,
        // Room for the random failures of a run beside a poisoned job's.
        maxAttempts: 4,
        stretch: 3,
        objectiveMs: 1_000,
        needsKey: true,
    };
}
