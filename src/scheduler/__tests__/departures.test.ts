// Workers that leave, alone and many at once, and one failure at a time beside it.
import * as decisions from "../../decisions/index";
import type * as emulator from "../../emulator/index";
import * as work from "../../work/index";
import * as fixtures from "./fixtures";

const WHOLE_WORKER = { cpuMillis: 4_000, memoryMb: 8_192, accelerators: 8 };
const REPLACED_MS = 30_000;

async function getState(site: fixtures.TestSite, { jobId }: emulator.EmulatedJob): Promise<string> {
    const reply = await fixtures.advanceUntilSettled(site.clock, site.getState(jobId, 1));
    return reply.kind === "state" ? reply.state : reply.kind;
}

function getWorkers(site: fixtures.TestSite, job: emulator.EmulatedJob): string[] {
    return [...new Set(fixtures.getStarts(site, job).map(start => start.workerId))];
}

function getLines(site: fixtures.TestSite, event: string) {
    return site.lines.filter(line => line["event"] === event);
}

/** Announces that the workers leave, and lets them leave `staysMs` later. */
function leave(site: fixtures.TestSite, ids: readonly string[], announcedMs: number, staysMs = announcedMs): void {
    for (const id of ids) {
        site.workers.drain(id, announcedMs);
        site.clock.setTimer(staysMs, () => site.leaveWorker(id, REPLACED_MS));
    }
}

const without = (...names: decisions.Mechanism[]) => decisions.disableMechanisms(decisions.POLICIES.worth, names);

describe("a task on a leaving worker", () => {
    /** The estimate is seven times too long. */
    const misjudged = fixtures.createJob(1, { estimateMs: 21_000 }, { durationsMs: [3_000] });
    const start = (policy?: decisions.Policy) => fixtures.openSiteWithJobs({ workers: 2, policy }, [misjudged]);

    // Guards against the loss of almost all of a run whose progress shows that it ends in time.
    test("is left to end by its measured progress, though its estimate says that it cannot", async () => {
        const site = await start();
        await site.clock.advance(1_500);
        leave(site, getWorkers(site, misjudged), 3_500);
        await site.clock.advance(4_000);
        expect(await getState(site, misjudged)).toBe("completed");
        expect(fixtures.getStarts(site, misjudged)).toHaveLength(1);
        site.close();
    });

    test("is stopped by its estimate without the mechanism", async () => {
        const site = await start(without("departures"));
        await site.clock.advance(1_500);
        leave(site, getWorkers(site, misjudged), 3_500);
        await site.clock.advance(1_500);
        expect(fixtures.getStarts(site, misjudged)).toHaveLength(2);
        site.close();
    });

    // Guards against a restart two seconds later than possible.
    test("is stopped at once if it can neither end nor save its state", async () => {
        const job = fixtures.createJob(1, { estimateMs: 10_000 });
        const site = await fixtures.openSiteWithJobs({ workers: 2 }, [job]);
        await site.clock.advance(2_000);
        leave(site, getWorkers(site, job), 2_000);
        await site.clock.advance(1_300);
        expect(fixtures.getStarts(site, job)).toHaveLength(2);
        expect(getLines(site, "departureDecision")).toMatchObject([{ decision: "giveUp", members: 1 }]);
        site.close();
    });
});

describe("a gang with one member on a leaving worker", () => {
    const gang = fixtures.createJob(1, {
        gang: true,
        count: 3,
        checkpoints: true,
        estimateMs: 8_000,
        needs: WHOLE_WORKER,
    });

    // Guards against members that are stopped one by one while the rest holds its workers, and against lost work.
    test("is stopped as a whole at the last moment that saves its state, and resumes", async () => {
        const site = await fixtures.openSiteWithJobs({ workers: 6 }, [gang]);
        await site.clock.advance(3_000);
        const noticedAt = site.clock.now();
        leave(site, getWorkers(site, gang).slice(0, 1), 3_000);
        await site.clock.advance(12_000);
        expect(await getState(site, gang)).toBe("completed");
        const starts = fixtures.getStarts(site, gang);
        expect(starts).toHaveLength(6);
        expect(starts[3]!.at - noticedAt).toBeGreaterThan(2_000);
        expect(starts[3]!.at - noticedAt).toBeLessThan(3_200);
        expect(getLines(site, "departureDecision").map(line => line["decision"])).toEqual(["saveLater", "saveNow"]);
        expect(getLines(site, "runLost")).toEqual([]);
        site.close();
    });

    // Guards against a successor that takes an old notice for a new one, so that the worker leaves with the work.
    test("loses no work if the leader is lost between the notice and the stop", async () => {
        const site = await fixtures.openSiteWithJobs({ workers: 6, instances: 3 }, [gang]);
        await site.clock.advance(3_000);
        leave(site, getWorkers(site, gang).slice(0, 1), 4_000);
        await site.clock.advance(1_000);
        site.kill(site.getLeader()!);
        await site.clock.advance(15_000);
        expect(await getState(site, gang)).toBe("completed");
        expect(fixtures.getStarts(site, gang)).toHaveLength(6);
        expect(getLines(site, "departureDecision").at(-1)).toMatchObject({ decision: "saveNow", isNoticeOld: true });
        expect(getLines(site, "runLost")).toEqual([]);
        site.close();
    });

    // Guards against members that hold their workers until the lease of an unreachable one has expired, and against a
    // second start before that.
    test("releases its other workers if the leaving one cannot be reached, and restarts after the lease", async () => {
        const cut = { id: "" };
        const site = await fixtures.openSiteWithJobs({
            workers: 6,
            workerFaults: () => ({
                decide: worker => worker === cut.id ? "cut" : "none",
                lateMs: 0,
                getSlowdown: () => 1,
            }),
        }, [gang]);
        await site.clock.advance(3_000);
        const ids = getWorkers(site, gang);
        cut.id = ids[0]!;
        const cutAt = site.clock.now();
        leave(site, [cut.id], 2_000, 20_000);
        await site.clock.advance(3_000);
        expect(ids.slice(1).map(id => site.workers.countRunning(id))).toEqual([0, 0]);
        await site.clock.advance(17_000);
        expect(await getState(site, gang)).toBe("completed");
        const starts = fixtures.getStarts(site, gang);
        expect(starts).toHaveLength(6);
        expect(starts[3]!.at - cutAt).toBeGreaterThan(5_000);
        expect(site.workers.violations).toEqual([]);
        site.close();
    });
});

// Guards against a count of thrown-away work that runs on after the worker has left, until its lease has expired.
test("work that is lost with a leaving worker counts until the worker has left", async () => {
    const job = fixtures.createJob(1, { estimateMs: 60_000, needs: WHOLE_WORKER });
    const site = await fixtures.openSiteWithJobs({ workers: 1, policy: without("leavingWorkers") }, [job]);
    await site.clock.advance(2_000);
    leave(site, ["worker-0"], 2_000);
    await site.clock.advance(2_000);
    const startedAt = fixtures.getStarts(site, job)[0]!.at;
    const ranMs = site.clock.now() - startedAt;
    await site.clock.advance(10_000);
    const cores = WHOLE_WORKER.cpuMillis / 1_000 + 8 * WHOLE_WORKER.accelerators;
    const [line] = getLines(site, "workThrownAway");
    const { lapsed } = line!["coreSeconds"] as Readonly<Record<string, number>>;
    expect(lapsed! / cores).toBeGreaterThan(ranMs / 1_000 - 0.1);
    expect(lapsed! / cores).toBeLessThan(ranMs / 1_000 + 0.7);
    site.close();
});

describe("workers that stay longer than they announce", () => {
    const first = fixtures.createJob(1, { count: 4, estimateMs: 30_000, needs: WHOLE_WORKER });
    const second = fixtures.createJob(2, { estimateMs: 5_000, needs: WHOLE_WORKER });

    /** Four workers announce 1 s and stay for 20 s; later a task of 5 s runs on another one that announces 1 s. */
    const run = async (policy?: decisions.Policy, onLearned: (site: fixtures.TestSite) => void = () => undefined) => {
        const site = await fixtures.openSiteWithJobs({ workers: 8, instances: 3, policy }, [first]);
        await site.clock.advance(1_000);
        leave(site, getWorkers(site, first), 1_000, 20_000);
        await site.clock.advance(16_000);
        [9, 10].forEach(number => site.workers.add(fixtures.createWorkerInfo(number)));
        await site.clock.advance(2_000);
        onLearned(site);
        await site.clock.advance(3_000);
        await fixtures.advanceUntilSettled(site.clock, site.submit(second, 1));
        await site.clock.advance(1_000);
        leave(site, getWorkers(site, second), 1_000, 20_000);
        await site.clock.advance(6_000);
        return site;
    };

    test("get the time that such workers have stayed before", async () => {
        const site = await run();
        expect(await getState(site, second)).toBe("completed");
        expect(fixtures.getStarts(site, second)).toHaveLength(1);
        site.close();
    });

    test("are believed without the mechanism", async () => {
        const site = await run(without("departures"));
        expect(fixtures.getStarts(site, second)).toHaveLength(2);
        site.close();
    });

    // Guards against learned stays that end with the leader that has measured them.
    test("get it from the leader's successor as well", async () => {
        const site = await run(undefined, ({ kill, getLeader }) => kill(getLeader()!));
        expect(fixtures.getStarts(site, second)).toHaveLength(1);
        site.close();
    });

    // Guards against a successor that fails, or uses half a state, where the stored one is damaged.
    test.each(["{", JSON.stringify({ at: 0, text: "{\"stays\":{\"booking\":[\"x\"]}}" })])(
        "are believed by a successor that cannot read what was learned: %s",
        async value => {
            const site = await run(undefined, ({ store, kill, getLeader }) => {
                const rows = store.getRows(work.Table.Learned).filter(({ key }) => key === "departures");
                expect(rows).toHaveLength(1);
                rows.forEach(row => store.put({ ...row, value }));
                kill(getLeader()!);
            });
            expect(fixtures.getStarts(site, second)).toHaveLength(2);
            expect(getLines(site, "learnedStateUnusable")).toMatchObject([{ section: "departures" }]);
            site.close();
        },
    );
});

describe("several workers that leave at once", () => {
    const filler = fixtures.createJob(1, { count: 4, estimateMs: 60_000, needs: { ...WHOLE_WORKER, accelerators: 5 } });
    const gang = fixtures.createJob(2, { gang: true, count: 4, needs: { ...WHOLE_WORKER, accelerators: 3 } });

    /** Three idle workers leave; a gang arrives while four of the others have room for one member each. */
    const run = async (options: {
        readonly policy?: decisions.Policy;
        readonly leaving?: number;
        onLost?(site: fixtures.TestSite): void;
    }) => {
        const site = await fixtures.openSiteWithJobs({ workers: 9, instances: 3, policy: options.policy }, [filler]);
        await site.clock.advance(500);
        const idle = Array.from({ length: 9 }, (_, number) => `worker-${number}`)
            .filter(id => site.workers.countRunning(id) === 0);
        leave(site, idle.slice(0, options.leaving ?? 3), 2_000);
        await site.clock.advance(6_000);
        options.onLost?.(site);
        await site.clock.advance(4_000);
        await fixtures.advanceUntilSettled(site.clock, site.submit(gang, 1));
        await site.clock.advance(1_000);
        const workers = getWorkers(site, gang).length;
        site.close();
        return { workers, site };
    };

    // Guards against a gang that is spread over all workers with free resources while workers are being taken away.
    test("cause gangs to be placed on few workers, also by the leader's successor", async () => {
        const kept = await run({});
        const taken = await run({ onLost: site => site.kill(site.getLeader()!) });
        const spread = await run({ policy: without("gangExposure") });
        expect(kept.workers).toBe(2);
        expect(taken.workers).toBe(2);
        expect(spread.workers).toBeGreaterThan(2);
        expect(getLines(kept.site, "simultaneousLosses")).toHaveLength(1);
        expect(getLines(kept.site, "placed").at(-1)!["lossAgeMs"]).toBeGreaterThan(9_000);
    });

    test("are not two single ones", async () => {
        expect((await run({ leaving: 2 })).workers).toBeGreaterThan(2);
    });
});

// Guards against work that is lost with its worker, and against starts beyond a promise, while a sixth of a full site
// leaves at once at short notice: stops, placements and polls of dozens of tasks then compete.
test("under load no run is lost with its worker while a sixth of the workers leaves at once", async () => {
    const jobs = Array.from({ length: 24 }, (_, number) => {
        const queue = number % 3 === 0 ? "urgent" : "batch";
        const isGang = number % 2 === 0;
        return fixtures.createJob(number + 1, {
            count: 4,
            gang: isGang,
            checkpoints: number % 4 < 2,
            estimateMs: 4_000 + 500 * (number % 5),
            needs: { ...WHOLE_WORKER, accelerators: 4 },
        }, { queue });
    });
    const site = await fixtures.openSiteWithJobs({ workers: 24, instances: 3 }, jobs);
    await site.clock.advance(2_000);
    leave(site, ["worker-0", "worker-5", "worker-10", "worker-15"], 2_000);
    await site.clock.advance(40_000);
    for (const job of jobs) {
        expect(await getState(site, job)).toBe("completed");
    }
    expect(getLines(site, "runLost")).toEqual([]);
    expect(getLines(site, "departureDecision").length).toBeGreaterThan(2);
    expect(site.workers.violations).toEqual([]);
    site.close();
});
