/** Tracks the jobs of a simulation from the events that the instances log. */
import type * as emulator from "../emulator/index";
import * as generate from "./generate";
import type * as simulationResult from "./simulationResult";

/** State of all planned jobs. Times are on the clock that `createJobTracker` gets. */
export interface JobTracker {
    /** Receives the log events of the instances. */
    readonly log: Parameters<typeof emulator.createSite>[0]["log"];
    recordAcceptance(jobId: string): void;
    /** The job was refused and its caller does not retry. */
    recordGiveUp(jobId: string): void;
    /** Whether some jobs have not arrived or not ended. */
    hasPendingJobs(): boolean;
    /** Accepted jobs that have not started. */
    countWaiting(): number;
    getOutcomes(): simulationResult.JobOutcome[];
    getThrownAwayWork(): Pick<
        simulationResult.SimulationResult,
        "thrownAwayCoreSeconds" | "stoppedRuns" | "thrownAwayByReason"
    >;
}

/** `now` returns milliseconds from the start of the load, as `arrivesAt` of the planned jobs. */
export function createJobTracker(planned: readonly generate.PlannedJob[], now: () => number): JobTracker {
    interface Entry {
        readonly planned: generate.PlannedJob;
        accepted: boolean;
        firstStartAt: number | undefined;
        end: { state: string; at: number; } | undefined;
    }
    const entries = new Map(planned.map((item): [string, Entry] => [
        item.job.jobId,
        { planned: item, accepted: false, firstStartAt: undefined, end: undefined },
    ]));
    let thrownAwayCoreSeconds = 0;
    let stoppedRuns = 0;
    const thrownAwayByReason: Record<string, number> = {};
    /** `id` is the id of a job, task or unit; the others start with the id of their job. */
    const findEntry = (id: unknown) => entries.get(String(id).split(".", 1)[0]!);
    const handleEvent = (event: string, fields: Readonly<Record<string, unknown>> = {}) => {
        switch (event) {
            case "placed": {
                const entry = findEntry(fields["unit"]);
                if (entry && entry.firstStartAt === undefined) {
                    entry.firstStartAt = now();
                }
                break;
            }
            case "runEnded": {
                const entry = findEntry(fields["task"]);
                stoppedRuns++;
                // Work of a job that its caller cancelled does not count as thrown away by the scheduler.
                if (entry && fields["saved"] !== true && fields["reason"] !== "jobCancelled") {
                    const step = entry.planned.job.spec.steps[0]!;
                    const cores = step.needs.cpuMillis / 1_000
                        + generate.CORES_PER_ACCELERATOR * step.needs.accelerators;
                    const lostCoreSeconds = Number(fields["ranMs"]) / 1_000 * cores;
                    const reason = String(fields["reason"] ?? fields["how"]).split(" for ", 1)[0]!;
                    thrownAwayCoreSeconds += lostCoreSeconds;
                    thrownAwayByReason[reason] = (thrownAwayByReason[reason] ?? 0) + lostCoreSeconds;
                }
                break;
            }
            case "jobEnded": {
                const entry = findEntry(fields["job"]);
                if (entry) {
                    entry.end ??= { state: String(fields["state"]), at: now() };
                }
                break;
            }
        }
    };
    return {
        log: { info: handleEvent, warn: handleEvent, error: handleEvent },
        recordAcceptance: jobId => {
            entries.get(jobId)!.accepted = true;
        },
        recordGiveUp: jobId => {
            const entry = entries.get(jobId)!;
            entry.end ??= { state: "refused", at: now() };
        },
        hasPendingJobs: () => [...entries.values()].some(entry => !entry.end),
        countWaiting: () =>
            [...entries.values()].filter(entry => entry.accepted && entry.firstStartAt === undefined && !entry.end)
                .length,
        getOutcomes: () =>
            [...entries.values()].map(entry => ({
                planned: entry.planned,
                zone: `zone-${entry.planned.zone}`,
                accepted: entry.accepted,
                firstStartMs: entry.firstStartAt === undefined
                    ? undefined
                    : entry.firstStartAt - entry.planned.arrivesAt,
                end: entry.end && { state: entry.end.state, afterMs: entry.end.at - entry.planned.arrivesAt },
            })),
        getThrownAwayWork: () => ({ thrownAwayCoreSeconds, stoppedRuns, thrownAwayByReason }),
    };
}
