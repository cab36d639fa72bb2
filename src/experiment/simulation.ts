/** Simulates a load: the real scheduler with an emulated store and emulated workers, on a manual clock. */
import * as clocks from "../clock/index";
import type * as decisions from "../decisions/index";
import * as emulator from "../emulator/index";
import type * as leader from "../leader/index";
import * as telemetry from "../telemetry/index";
import * as callers from "./callers";
import * as faultInjector from "./faultInjector";
import * as generate from "./generate";
import * as jobTracker from "./jobTracker";
import type * as loads from "./load";
import * as simulatedSite from "./simulatedSite";
import type * as simulationResult from "./simulationResult";

/** A simulation. The same options always give the same result. */
export interface SimulationOptions {
    readonly load: loads.Load;
    readonly seed: number;
    readonly policy: decisions.Policy;
}

/** Time for the instances to elect a leader, and for the leader to find its workers, before jobs arrive. */
const WARM_UP_MS = 2_000;
const STEP_MS = 50;
const SAMPLE_INTERVAL_MS = 500;
/** Time after the last arrival; jobs that have not ended by then count as missed. */
const COMPLETION_TIMEOUT_MS = 40_000;

/** Runs the simulation until all jobs have ended, or `COMPLETION_TIMEOUT_MS` after the last arrival. */
export async function simulate(options: SimulationOptions): Promise<simulationResult.SimulationResult> {
    const { load } = options;
    const source = generate.createSeededRandom(options.seed);
    const planned = generate.generateJobs(load, source);
    const time = clocks.createManualClock(1_700_000_000_000);
    const startAt = time.now() + WARM_UP_MS;
    const tracker = jobTracker.createJobTracker(planned, () => time.now() - startAt);
    const workers = Array.from({ length: load.workers }, (_, number) => simulatedSite.createWorker(number, load));
    const injector = faultInjector.createFaultInjector(load, workers, {
        source,
        speeds: simulatedSite.drawSpeeds(load, options.seed),
        now: () => time.now() - startAt,
    });
    const site = emulator.createSite({
        clock: time,
        log: tracker.log,
        ...telemetry.createMetrics(),
        instances: load.instances,
        getPower: number => simulatedSite.getInstanceCores(number, load),
        workers,
        catalog: simulatedSite.createCatalog(load),
        workerFaults: injector.workerFaults,
        storeFaults: injector.storeFaults,
        policy: options.policy,
    });
    const samples: simulationResult.Sample[] = [];
    await time.advance(WARM_UP_MS);
    let nextIndex = 0;
    let sampleAt = 0;
    for (let at = 0; at < load.durationMs + COMPLETION_TIMEOUT_MS && tracker.hasPendingJobs(); at += STEP_MS) {
        for (; nextIndex < planned.length && planned[nextIndex]!.arrivesAt <= at; nextIndex++) {
            callers.submitJob(planned[nextIndex]!, { site, load, tracker, time });
        }
        injector.apply(site, at);
        if (at >= sampleAt) {
            samples.push(takeSample(site.workers, workers, at, tracker.countWaiting()));
            sampleAt = at + SAMPLE_INTERVAL_MS;
        }
        await time.advance(STEP_MS);
    }
    site.close();
    return {
        jobs: tracker.getOutcomes(),
        samples,
        ...tracker.getThrownAwayWork(),
        workerCalls: injector.countWorkerCalls(),
        violations: emulator.listViolations(site.workers),
        simulatedMs: time.now() - startAt,
    };
}

function takeSample(
    workers: emulator.EmulatedWorkers,
    infos: readonly leader.WorkerInfo[],
    atMs: number,
    waitingJobs: number,
): simulationResult.Sample {
    let total = 0;
    let used = 0;
    let freeOnIdleWorkers = 0;
    for (const info of infos) {
        const usedByWorker = workers.getUsedResources(info.id);
        if (usedByWorker) {
            total += info.capacity.accelerators;
            used += usedByWorker.accelerators;
            freeOnIdleWorkers += usedByWorker.accelerators === 0 ? info.capacity.accelerators : 0;
        }
    }
    const free = total - used;
    return {
        atMs,
        utilisation: total > 0 ? used / total : 0,
        fragmentation: free > 0 ? 1 - freeOnIdleWorkers / free : 0,
        waitingJobs,
    };
}
