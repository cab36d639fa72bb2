import * as emulator from "../../emulator/index";
import * as fixtures from "./fixtures";

const EVACUATION_MS = 5_000;
const STEP_MS = 10;
const PER_ZONE = 2;
const ZONE = "r0";
const OTHER_ZONE = "r1";
const WHOLE = { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 8 };

/** State of one test, which its faults refer to. */
interface Script {
    readonly site: fixtures.TestSite;
    /** Instances that cannot read the operators' table. */
    readonly unreadable: Set<string>;
    /** Faults of the next start orders. */
    readonly startFaults: emulator.OrderFault[];
    readonly store: { slowdown: number; };
}

interface Case {
    readonly name: string;
    /** Zones of `PER_ZONE` workers; 2 by default. */
    readonly zones?: number;
    readonly act: (script: Script) => Promise<void>;
    /** Events of log lines that must have been written. */
    readonly lines?: readonly string[];
}

/** Submits a job of one task of a whole worker, without waiting for it. */
async function submitWhole({ site }: Script, number: number, durationMs = 1_000, gang = 1): Promise<string> {
    const job = fixtures.createJob(number, { needs: WHOLE, estimateMs: durationMs, count: gang, gang: gang > 1 });
    const leader = site.getLeader() ?? 0;
    await fixtures.advanceUntilSettled(site.clock, site.submit(job, site.isAlive(1) ? 1 : leader));
    return job.jobId;
}

const getZone = (site: fixtures.TestSite, workerId: string) =>
    site.workers.getInfo(emulator.getFirstWorkerId(workerId)).zone;
const countStarts = ({ site }: Script, zone: string) =>
    site.workers.starts.filter(start => getZone(site, start.workerId) === zone).length;
const expectState = async ({ site }: Script, jobId: string, state: string) => {
    const reply = await fixtures.advanceUntilSettled(site.clock, site.getState(jobId, site.getLeader() ?? 0));
    expect(reply).toMatchObject({ state });
};

/** Submits a job that cannot start, long enough before its state is read that it would have ended elsewhere. */
async function submitAndExpectQueued(script: Script): Promise<string> {
    const jobId = await submitWhole(script, 1);
    await script.site.clock.advance(8_000);
    await expectState(script, jobId, "queued");
    return jobId;
}

const cases: readonly Case[] = [
    {
        name: "that stays evacuated, and its runs end as usual",
        zones: 1,
        act: async script => {
            const running = await submitWhole(script, 1, 4_000);
            await script.site.clock.advance(500);
            script.site.operators!.evacuate(ZONE);
            await script.site.clock.advance(1_500);
            const waiting = await submitWhole(script, 2);
            await script.site.clock.advance(10_000);
            await expectState(script, running, "completed");
            await expectState(script, waiting, "queued");
        },
        lines: ["zoneEvacuated", "stepWaits"],
    },
    {
        name: "until it is restored",
        zones: 1,
        act: async script => {
            script.site.operators!.evacuate(ZONE);
            await script.site.clock.advance(1_000);
            const jobId = await submitAndExpectQueued(script);
            script.site.operators!.restore(ZONE);
            await script.site.clock.advance(3_000);
            await expectState(script, jobId, "completed");
        },
        lines: ["zoneEvacuated", "zoneRestored"],
    },
    {
        name: "that is restored and evacuated again",
        zones: 1,
        act: async script => {
            script.site.operators!.evacuate(ZONE);
            await script.site.clock.advance(7_000);
            script.site.operators!.restore(ZONE);
            script.site.operators!.evacuate(ZONE);
            await script.site.clock.advance(1_000);
            await submitAndExpectQueued(script);
        },
    },
    {
        name: "beside another evacuated one",
        act: async script => {
            script.site.operators!.evacuate(ZONE);
            script.site.operators!.evacuate(OTHER_ZONE);
            await script.site.clock.advance(1_000);
            const jobId = await submitAndExpectQueued(script);
            script.site.operators!.restore(OTHER_ZONE);
            await script.site.clock.advance(3_000);
            await expectState(script, jobId, "completed");
        },
    },
    {
        name: "whose row has an unknown value",
        zones: 1,
        act: async script => {
            script.site.operators!.evacuate(ZONE, "[");
            await script.site.clock.advance(1_000);
            await submitAndExpectQueued(script);
        },
        lines: ["evacuationUnreadable"],
    },
    {
        name: "that was evacuated and restored while the history had a gap",
        zones: 1,
        act: async script => {
            script.site.operators!.evacuate(ZONE);
            script.site.operators!.discardHistory();
            await script.site.clock.advance(2_000);
            const jobId = await submitWhole(script, 1);
            await script.site.clock.advance(6_000);
            await expectState(script, jobId, "queued");
            script.site.operators!.restore(ZONE);
            script.site.operators!.discardHistory();
            await script.site.clock.advance(4_000);
            await expectState(script, jobId, "completed");
        },
        lines: ["historyGap", "zoneRestored"],
    },
    {
        name: "for which a task was placed when the store became slow",
        zones: 1,
        act: async script => {
            script.store.slowdown = 80;
            const job = fixtures.createJob(1, { needs: WHOLE, estimateMs: 1_000 });
            void script.site.submit(job, 1);
            for (let ms = 0; ms < 5_000 && !script.site.lines.some(line => line["event"] === "placed"); ms += STEP_MS) {
                await script.site.clock.advance(STEP_MS);
            }
            script.site.operators!.evacuate(ZONE);
            await script.site.clock.advance(9_000);
            expect(script.site.workers.starts).toEqual([]);
        },
        lines: ["startWithdrawn"],
    },
    {
        name: "for a gang with members there",
        act: async script => {
            script.site.operators!.evacuate(ZONE);
            await script.site.clock.advance(1_500);
            const jobId = await submitWhole(script, 1, 1_000, 3);
            await script.site.clock.advance(8_000);
            await expectState(script, jobId, "queued");
            script.site.operators!.restore(ZONE);
            await script.site.clock.advance(4_000);
            await expectState(script, jobId, "completed");
        },
    },
    {
        name: "after a start there got no answer",
        act: async script => {
            script.startFaults.push("late");
            const jobId = await submitWhole(script, 1, 3_000);
            await script.site.clock.advance(STEP_MS);
            const [zone] = [ZONE, OTHER_ZONE].filter(name => countStarts(script, name) > 0);
            script.site.operators!.evacuate(zone ?? ZONE);
            await script.site.clock.advance(15_000);
            await expectState(script, jobId, "completed");
        },
    },
    {
        name: "by a leader that takes over",
        zones: 1,
        act: async script => {
            script.site.operators!.evacuate(ZONE);
            await script.site.clock.advance(1_000);
            const jobId = await submitWhole(script, 1);
            await script.site.clock.advance(5_000);
            script.site.kill(script.site.getLeader()!);
            await script.site.clock.advance(8_000);
            await expectState(script, jobId, "queued");
        },
    },
    ...[false, true].map((suspended): Case => ({
        name: `by a leader that wakes from a ${suspended ? "suspension" : "freeze"}`,
        zones: 1,
        act: async script => {
            script.site.freeze(script.site.getLeader()!, 9_000, suspended);
            script.site.operators!.evacuate(ZONE);
            const job = fixtures.createJob(1, { needs: WHOLE, estimateMs: 1_000 });
            void script.site.submit(job, 0);
            void script.site.submit(job, 1);
            await script.site.clock.advance(16_000);
            expect(script.site.workers.starts).toEqual([]);
        },
    })),
    {
        name: "by a leader that reaches the store but cannot read the operators' table",
        zones: 1,
        act: async script => {
            [0, 1].forEach(number => script.unreadable.add(emulator.getInstanceName(number)));
            // A poll that was sent before would still return the evacuation.
            await script.site.clock.advance(1_000);
            script.site.operators!.evacuate(ZONE);
            await script.site.clock.advance(EVACUATION_MS);
            const jobId = await submitAndExpectQueued(script);
            script.unreadable.clear();
            script.site.operators!.restore(ZONE);
            await script.site.clock.advance(4_000);
            await expectState(script, jobId, "completed");
        },
        lines: ["tableLost"],
    },
    {
        name: "by an instance that starts and has not read the operators' table",
        zones: 1,
        act: async script => {
            script.site.operators!.evacuate(ZONE);
            [0, 1].forEach(number => script.unreadable.add(emulator.getInstanceName(number)));
            const jobId = await submitWhole(script, 1);
            [0, 1].forEach(script.site.kill);
            [0, 1].forEach(script.site.restart);
            const before = script.site.workers.starts.length;
            await script.site.clock.advance(10_000);
            expect(script.site.workers.starts.length).toBe(before);
            script.unreadable.clear();
            await script.site.clock.advance(2_000);
            script.site.operators!.restore(ZONE);
            await script.site.clock.advance(12_000);
            await expectState(script, jobId, "completed");
        },
    },
];

// Guards against starts in a zone that an operator has evacuated.
describe("nothing starts in an evacuated zone", () => {
    test.each(cases)("$name", async ({ zones = 2, act, lines = [] }) => {
        const unreadable = new Set<string>();
        const startFaults: emulator.OrderFault[] = [];
        const store = { slowdown: 1 };
        const script: Script = {
            unreadable,
            startFaults,
            store,
            site: fixtures.openSite({
                workers: zones * PER_ZONE,
                workersPerRack: PER_ZONE,
                evacuations: () => ({
                    evacuationMs: EVACUATION_MS,
                    faults: { decide: caller => unreadable.has(caller) ? "silent" : "none", lateMs: 0 },
                }),
                storeFaults: () => ({ decide: () => "none", lateMs: 0, getSlowdown: () => store.slowdown }),
                workerFaults: (): ReturnType<NonNullable<Parameters<typeof fixtures.openSite>[0]["workerFaults"]>> => ({
                    decide: (_worker, call) => call === "start" ? startFaults.shift() ?? "none" : "none",
                    lateMs: 3_000,
                    getSlowdown: () => 1,
                }),
            }),
        };
        await script.site.clock.advance(1_000);
        await act(script);
        script.site.close();
        expect(script.site.workers.violations).toEqual([]);
        const events = script.site.lines.map(line => line["event"]);
        expect(lines.filter(event => !events.includes(event))).toEqual([]);
    });
});
