/** Which workers a load's troubles strike, and how. */
import type * as emulator from "../emulator/index";
import type * as leader from "../leader/index";
import type * as random from "../random/index";
import type * as generate from "./generate";
import type * as loads from "./load";

export interface Troubles {
    readonly faults: emulator.WorkerFaults;
    /** Lets workers crash or drain whose time has come. */
    apply(workers: emulator.EmulatedWorkers, atMs: number): void;
    /** Makes runs fail that were started where all fails. */
    failOn(workers: emulator.EmulatedWorkers, planned: readonly generate.PlannedJob[]): void;
}

interface Strike {
    readonly trouble: loads.Trouble;
    readonly workerIds: ReadonlySet<string>;
    applied: boolean;
}

export function createTroubles(
    load: loads.Load,
    workers: readonly leader.WorkerInfo[],
    source: random.Random,
    now: () => number,
): Troubles {
    const strikes = load.troubles.map((trouble): Strike => ({
        trouble,
        workerIds: new Set("share" in trouble ? pickIds(workers, trouble.share, source) : []),
        applied: false,
    }));
    const isStruck = (kind: loads.Trouble["kind"], workerId: string, at: number) =>
        strikes.find(({ trouble, workerIds }) =>
            trouble.kind === kind && workerIds.has(workerId) && "forMs" in trouble
            && at >= trouble.atMs && at < trouble.atMs + trouble.forMs
        );
    return {
        faults: {
            decide: workerId => isStruck("cut", workerId, now()) ? "cut" : "none",
            lateMs: 0,
            getSlowness: workerId => {
                if (isStruck("hang", workerId, now())) {
                    return Infinity;
                }
                const slow = isStruck("slow", workerId, now())?.trouble;
                return slow?.kind === "slow" ? slow.times : 1;
            },
        },
        apply: (emulated, atMs) => {
            for (const strike of strikes) {
                const { trouble, workerIds } = strike;
                if (strike.applied || trouble.atMs > atMs) {
                    continue;
                }
                strike.applied = true;
                if (trouble.kind === "crash") {
                    workerIds.forEach(id => emulated.kill(id, false));
                }
                if (trouble.kind === "leave") {
                    workerIds.forEach(id => emulated.drain(id, trouble.leftMs));
                }
            }
        },
        failOn: (emulated, planned) => {
            for (const { job } of planned) {
                const { fails } = job;
                job.fails = (task, run) => {
                    const start = emulated.starts.find(candidate => candidate.task === task && candidate.run === run);
                    return fails?.(task, run) === true
                        || (start !== undefined && isStruck("fail", start.workerId, now()) !== undefined);
                };
            }
        },
    };
}

function pickIds(workers: readonly leader.WorkerInfo[], share: number, source: random.Random): string[] {
    const left = workers.map(worker => worker.id);
    const picked: string[] = [];
    while (picked.length < Math.round(workers.length * share)) {
        picked.push(...left.splice(source.nextInt(left.length), 1));
    }
    return picked;
}
