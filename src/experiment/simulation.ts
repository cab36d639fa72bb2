/** Plays a load through the real scheduler against emulated workers on a manual clock. */
import * as clocks from "../clock/index";
import type * as decisions from "../decisions/index";
import * as emulator from "../emulator/index";
import type * as leader from "../leader/index";
import * as telemetry from "../telemetry/index";
import * as callers from "./callers";
import * as troubles from "./faultInjector";
import * as generate from "./generate";
import * as jobRecord from "./jobTracker";
import type * as loads from "./load";
import * as siteOfLoad from "./simulatedSite";
import type * as outcomes from "./simulationResult";

export interface SimulationOptions {
    readonly load: loads.Load;
    readonly seed: number;
    readonly policy: decisions.Policy;
}

/** The instances find a leader, and the leader its workers, before jobs come. */
const LEAD_MS = 2_000;
const STEP_MS = 50;
const SAMPLE_MS = 500;
/** After the last arrival: what is not done then counts as not served. */
const FINISH_MS = 40_000;

export async function simulate(options: SimulationOptions): Promise<outcomes.SimulationResult> {
    const { load } = options;
    const source = generate.createSeededRandom(options.seed);
    const planned = generate.generateJobs(load, source);
    const time = clocks.createManualClock(1_700_000_000_000);
    const startAt = time.now() + LEAD_MS;
    const record = jobRecord.createJobTracker(planned, () => time.now() - startAt);
    const workers = Array.from({ length: load.workers }, (_, number) => siteOfLoad.createWorker(number, load));
    const affected = troubles.createFaultInjector(load, workers, {
        source,
        speeds: siteOfLoad.drawSpeeds(load, options.seed),
        now: () => time.now() - startAt,
    });
    const site = emulator.createSite({
        clock: time,
        log: record.log,
        ...telemetry.createMetrics(),
        instances: load.instances,
        getPower: number => siteOfLoad.getInstanceCores(number, load),
        workers,
        catalog: siteOfLoad.createCatalog(load),
        workerFaults: affected.workerFaults,
        storeFaults: affected.storeFaults,
        policy: options.policy,
    });
    const samples: outcomes.Sample[] = [];
    await time.advance(LEAD_MS);
    let next = 0;
    let sampleAt = 0;
    for (let at = 0; at < load.forMs + FINISH_MS && record.hasPendingJobs(); at += STEP_MS) {
        for (; next < planned.length && planned[next]!.arrivesAt <= at; next++) {
            callers.submitJob(planned[next]!, { site, load, record, time });
        }
        affected.apply(site, at);
        if (at >= sampleAt) {
            samples.push(takeSample(site.workers, workers, at, record.countWaiting()));
            sampleAt = at + SAMPLE_MS;
        }
        await time.advance(STEP_MS);
    }
    site.close();
    return {
        jobs: record.getOutcomes(),
        samples,
        ...record.getThrownAwayWork(),
        workerCalls: affected.countWorkerCalls(),
        breaches: emulator.listViolations(site.workers),
        simulatedMs: time.now() - startAt,
    };
}

function takeSample(
    workers: emulator.EmulatedWorkers,
    infos: readonly leader.WorkerInfo[],
    atMs: number,
    waitingJobs: number,
): outcomes.Sample {
    let total = 0;
    let used = 0;
    let freeWhole = 0;
    for (const info of infos) {
        const taken = workers.getUsedResources(info.id);
        if (taken) {
            total += info.capacity.accelerators;
            used += taken.accelerators;
            freeWhole += taken.accelerators === 0 ? info.capacity.accelerators : 0;
        }
    }
    const free = total - used;
    return {
        atMs,
        utilisation: total > 0 ? used / total : 0,
        fragmentation: free > 0 ? 1 - freeWhole / free : 0,
        waitingJobs,
    };
}
