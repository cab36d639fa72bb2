import * as emulator from "../../emulator/index";
import * as fixtures from "./fixtures";

const WHOLE = { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 8 };
/** Longer than a worker takes to report a change, and shorter than a lease, which is renewed during this time. */
const SLOW_MS = 2_000;
const SMALL = { ...fixtures.createWorkerInfo(0).capacity, accelerators: 2 };

interface Case {
    readonly name: string;
    /** Time in which the directory is unreachable for workers and instances. */
    readonly awayMs?: readonly [from: number, to: number];
    readonly shrinkAtMs: number;
    readonly growAtMs?: number;
    /** When a job that needs a whole worker is submitted. */
    readonly jobAtMs: number;
    readonly state: string;
}

const cases: readonly Case[] = [
    { name: "that it has reported", shrinkAtMs: 500, jobAtMs: 7_000, state: "queued" },
    { name: "that has grown again", shrinkAtMs: 500, growAtMs: 6_000, jobAtMs: 9_000, state: "completed" },
    {
        name: "that it could not report, since the directory was unreachable until just now",
        awayMs: [400, 7_000],
        shrinkAtMs: 500,
        jobAtMs: 7_010,
        state: "queued",
    },
    {
        name: "that it cannot report, since the directory is unreachable",
        awayMs: [400, 15_000],
        shrinkAtMs: 500,
        jobAtMs: 8_000,
        state: "queued",
    },
];

// Guards against tasks that start on a worker after it has shrunk, placed by the capacity it reported seconds before.
describe("no task starts on a worker beyond a capacity", () => {
    test.each(cases)("$name", async ({ awayMs: [fromMs, toMs] = [0, 0], ...testCase }) => {
        const startAt = { ms: 0 };
        const site = fixtures.openSite({
            workers: 1,
            isDirectoryUnreachable: time => {
                const at = time.now() - startAt.ms;
                return startAt.ms > 0 && at >= fromMs && at < toMs;
            },
        });
        await site.clock.advance(1_000);
        startAt.ms = site.clock.now();
        const advanceTo = (ms: number) => site.clock.advance(startAt.ms + ms - site.clock.now());
        const whole = site.workers.getInfo("worker-0").capacity;
        await advanceTo(testCase.shrinkAtMs);
        site.workers.resize("worker-0", SMALL);
        if (testCase.growAtMs !== undefined) {
            await advanceTo(testCase.growAtMs);
            site.workers.resize("worker-0", whole);
        }
        await advanceTo(testCase.jobAtMs);
        const job = fixtures.createJob(1, { needs: WHOLE });
        await fixtures.advanceUntilSettled(site.clock, site.submit(job, 1));
        await site.clock.advance(6_000);
        const state = await fixtures.advanceUntilSettled(site.clock, site.getState(job.jobId, 1));
        site.close();
        expect(emulator.listViolations(site.workers)).toEqual([]);
        expect(state).toEqual({ kind: "state", state: testCase.state });
    });
});

// Guards against overload while tasks stop: if they no longer count, other tasks are placed on the worker too early.
test("tasks being stopped on a worker that has shrunk still count towards its load", async () => {
    const site = fixtures.openSite({ workers: 1 });
    await site.clock.advance(1_000);
    const running = fixtures.createJob(1, { needs: { ...WHOLE, accelerators: 4 }, estimateMs: 30_000 }, {
        queue: "batch",
    });
    await fixtures.advanceUntilSettled(site.clock, site.submit(running, 1));
    await site.clock.advance(500);
    site.workers.resize("worker-0", { ...SMALL, accelerators: 5 });
    await site.clock.advance(6_000);
    const urgent = [2, 3].map(number =>
        fixtures.createJob(number, { needs: { ...WHOLE, accelerators: 3 } }, { queue: "urgent" })
    );
    for (const job of urgent) {
        await fixtures.advanceUntilSettled(site.clock, site.submit(job, 1));
    }
    await site.clock.advance(12_000);
    const states = await Promise.all(
        urgent.map(job => fixtures.advanceUntilSettled(site.clock, site.getState(job.jobId, 1))),
    );
    site.close();
    expect(emulator.listViolations(site.workers)).toEqual([]);
    expect(states).toEqual(urgent.map(() => ({ kind: "state", state: "completed" })));
});

// Guards against a start that is sent seconds after its decision, by what its worker had reported before.
describe("a start whose row takes long to store is withdrawn if meanwhile its worker", () => {
    const changes: ReadonlyArray<readonly [name: string, act: (site: fixtures.TestSite) => void]> = [
        ["drains", site => site.workers.drain("worker-0", 20_000)],
        ["shrinks", site => site.workers.resize("worker-0", SMALL)],
    ];
    test.each(changes)("%s", async (_name, act) => {
        const slow = { from: Infinity, caller: "" };
        const site = fixtures.openSite({
            workers: 1,
            storeFaults: time => ({
                decide: (caller, call) =>
                    call === "transact" && caller === slow.caller
                        && time.now() >= slow.from && time.now() < slow.from + SLOW_MS
                        ? "loseAnswer"
                        : "none",
                lateMs: 0,
            }),
        });
        await site.clock.advance(1_000);
        const job = fixtures.createJob(1, { needs: WHOLE });
        const leader = site.getLeader()!;
        Object.assign(slow, { from: site.clock.now(), caller: emulator.getInstanceName(leader) });
        const accepted = site.submit(job, 1 - leader);
        await site.clock.advance(50);
        act(site);
        await site.clock.advance(5_000);
        await accepted;
        site.close();
        expect(site.lines.filter(line => line["event"] === "placed")).not.toEqual([]);
        expect(fixtures.getStarts(site, job)).toEqual([]);
    });
});
