import type * as leader from "../../leader/index";
import * as fixtures from "./fixtures";

const ADVICE = { decideMs: 20, eachMs: 1, validMs: 3_000 };
const CATALOG = { ...fixtures.CATALOG, queues: fixtures.CATALOG.queues.map(queue => ({ ...queue, advice: ADVICE })) };
const WHOLE_MEMORY = { cpuMillis: 1_000, memoryMb: 65_536, accelerators: 0 };

interface Case {
    readonly name: string;
    /** The failure that the case guards against, and how it comes about. */
    readonly description: string;
    readonly workers: number;
    readonly members: number;
    readonly mayRun: (workerName: string) => boolean;
    readonly endsWithinMs: number;
    readonly fails?: (run: number) => boolean;
}

const cases: readonly Case[] = [
    {
        name: "a gang asks the adviser until workers for all its members are known",
        description:
            `A gang waits for seconds beside free workers: one of the first 30 workers may run it, and no more are
            asked about until its ticket expires.`,
        workers: 62,
        members: 3,
        mayRun: id => Number(id.split("-")[1]) % 30 === 0,
        endsWithinMs: 2_500,
    },
    {
        name: "after a failed run the adviser is asked about the step of the task",
        description:
            `A task that failed once never runs again: the only worker that may run it is avoided for its failure,
            and the adviser is asked for others by the name of the task, which it does not know.`,
        workers: 40,
        members: 1,
        mayRun: id => ["worker-0", "worker-35"].includes(id),
        endsWithinMs: 5_000,
        fails: run => run === 1,
    },
];

describe("advice", () => {
    test.each(cases)("$name", async ({ workers, members, mayRun, endsWithinMs, fails }) => {
        const job = fixtures.createJob(1, { count: members, gang: members > 1, needs: WHOLE_MEMORY }, {
            fails: (_task, run) => fails?.(run) ?? false,
        });
        const step = `${job.jobId}.0.0`;
        const adviser: leader.Adviser = {
            advise: async (name, workerNames) =>
                name === step
                    ? {
                        kind: "advised",
                        suitable: workerNames.filter(mayRun).map(workerName => ({
                            workerName,
                            ticket: `t-${workerName}`,
                        })),
                        validMs: ADVICE.validMs,
                    }
                    : { kind: "unavailable", message: `no such step: ${name}` },
        };
        const site = await fixtures.openSiteWithJobs({ workers, catalog: CATALOG, adviser }, [job]);
        await site.clock.advance(endsWithinMs);
        const state = await fixtures.advanceUntilSettled(site.clock, site.getState(job.jobId, 1));
        expect(state).toEqual({ kind: "state", state: "completed" });
        expect(fixtures.getStarts(site, job).filter(start => !mayRun(start.workerId))).toEqual([]);
        site.close();
    });
});
