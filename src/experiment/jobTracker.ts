/** Follows the jobs of a play by what the instances log. */
import type * as emulator from "../emulator/index";
import * as generate from "./generate";
import type * as outcomes from "./simulationResult";

/** What the instances log of the jobs, as it comes. */
export interface JobTracker {
    readonly log: Parameters<typeof emulator.createSite>[0]["log"];
    recordAcceptance(jobId: string): void;
    /** Its caller does not come back. */
    recordGiveUp(jobId: string): void;
    /** Whether jobs are still to come or to end. */
    hasPendingJobs(): boolean;
    countWaiting(): number;
    getOutcomes(): outcomes.JobOutcome[];
    getThrownAwayWork(): Pick<outcomes.SimulationResult, "thrownAwayCoreSeconds" | "stoppedRuns" | "lossByReason">;
}

/** Follows the jobs by what the instances log. */
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
    const lossByReason: Record<string, number> = {};
    const findEntry = (name: unknown) => entries.get(String(name).split(".", 1)[0]!);
    const take = (event: string, fields: Readonly<Record<string, unknown>> = {}) => {
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
                // What its caller has cancelled is not thrown away by a decision.
                if (entry && fields["saved"] !== true && fields["reason"] !== "jobCancelled") {
                    const step = entry.planned.job.spec.steps[0]!;
                    const cores = step.needs.cpuMillis / 1_000
                        + generate.CORES_PER_ACCELERATOR * step.needs.accelerators;
                    const loss = Number(fields["ranMs"]) / 1_000 * cores;
                    const reason = String(fields["reason"] ?? fields["how"]).split(" for ", 1)[0]!;
                    thrownAwayCoreSeconds += loss;
                    lossByReason[reason] = (lossByReason[reason] ?? 0) + loss;
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
        log: { info: take, warn: take, error: take },
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
        getThrownAwayWork: () => ({ thrownAwayCoreSeconds, stoppedRuns, lossByReason }),
    };
}
