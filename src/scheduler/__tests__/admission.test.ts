/** Admission under an overload of several times the capacity, with one failure each. */
import * as decisions from "../../decisions/index";
import type * as emulator from "../../emulator/index";
import type * as intakes from "../../intake/index";
import * as fixtures from "./fixtures";

/** Two workers run 8 tasks of 2 s each, so 8 jobs a second; this interval makes 40 a second. */
const INTERVAL_MS = 25;
/** The backlog has to last for 10 s before anything is refused. */
const OVERLOAD_MS = 16_000;

interface Submitted {
    readonly job: emulator.EmulatedJob;
    readonly at: number;
    readonly instance: number;
    reply?: intakes.IntakeReply;
    tookMs?: number;
}

interface Overloaded extends fixtures.TestSite {
    readonly submitted: readonly Submitted[];
    /** Submits jobs to all instances in turn, for that long. */
    play(durationMs: number): Promise<void>;
    submitAndWait(job: emulator.EmulatedJob, instance: number): Promise<intakes.IntakeReply>;
}

async function openOverloaded(
    queue: string,
    options: Parameters<typeof fixtures.openSite>[0] = {},
): Promise<Overloaded> {
    const site = fixtures.openSite({ instances: 3, workers: 2, ...options });
    await site.clock.advance(1_000);
    const submitted: Submitted[] = [];
    const submit = (instance: number) => {
        const job = fixtures.createJob(submitted.length + 1, {}, { queue, account: "other" });
        const item: Submitted = { job, at: site.clock.now(), instance };
        submitted.push(item);
        void site.submit(job, instance).then(reply => {
            item.reply = reply;
            item.tookMs = site.clock.now() - item.at;
        });
    };
    const play = async (durationMs: number) => {
        for (let at = 0; at < durationMs; at += INTERVAL_MS) {
            const alive = [0, 1, 2].filter(site.isAlive);
            submit(alive[submitted.length % alive.length]!);
            await site.clock.advance(INTERVAL_MS);
        }
    };
    await play(OVERLOAD_MS);
    return {
        ...site,
        submitted,
        play,
        submitAndWait: (job, instance) => fixtures.advanceUntilSettled(site.clock, site.submit(job, instance)),
    };
}

function isRefusedForLoad(reply: intakes.IntakeReply | undefined): boolean {
    return reply?.kind === "notAccepted" && reply.reason === "refused for load";
}

function readLease(site: fixtures.TestSite): Readonly<Record<string, unknown>> {
    const row = site.store.getRows("lead").find(({ key }) => key === "lease");
    return JSON.parse(row!.value) as Record<string, unknown>;
}

const LATER = 100_000;

describe("an overload of five times the capacity", () => {
    test("is refused in part, at once and truthfully; what is accepted runs", async () => {
        const site = await openOverloaded("plan");
        const refused = site.submitted.filter(({ reply }) => isRefusedForLoad(reply));
        expect(refused.length).toBeGreaterThan(50);
        expect(Math.max(...refused.map(({ tookMs }) => tookMs!))).toBeLessThanOrEqual(50);
        const stored = new Set(site.store.getRows("jobs").map(row => row.key));
        expect(refused.filter(({ job }) => stored.has(job.jobId))).toEqual([]);
        expect(refused.filter(({ job }) => fixtures.getStarts(site, job).length > 0)).toEqual([]);
        const line = site.lines.findLast(item => item["admission"] === "refused");
        expect(line).toMatchObject({ event: "request", outcome: "notAccepted", queue: "plan", maxWaitMs: 19_000 });
        expect(line!["expectedWaitMs"]).toBeGreaterThan(19_000);
        expect(line!["loadAgeMs"]).toBeLessThanOrEqual(2_000);
        expect(site.metrics.render()).toMatch(/admission_decisions_total\{decision="refused",queue="plan"\} \d+/);
        expect(site.metrics.render()).toMatch(/expected_wait_ms\{queue="plan"\} \d+/);
        site.close();
        expect(site.workers.violations).toEqual([]);
    });

    test("without the mechanism is accepted, and the row of the lease has no load", async () => {
        const policy = decisions.disableMechanisms(decisions.POLICIES.worth, ["admission"]);
        const site = await openOverloaded("plan", { policy });
        expect(site.submitted.filter(({ reply }) => reply && reply.kind !== "accepted")).toEqual([]);
        expect(readLease(site)).not.toHaveProperty("load");
        expect(site.lines.filter(item => item["admission"] !== undefined)).toEqual([]);
        site.close();
    });

    test("does not refuse the repeated submission of an accepted job", async () => {
        const site = await openOverloaded("plan");
        const accepted = site.submitted.filter(({ reply }) => reply?.kind === "accepted").slice(0, 60);
        const replies: intakes.IntakeReply[] = [];
        for (const [index, { job }] of accepted.entries()) {
            void site.submit(job, index % 3).then(reply => replies.push(reply));
            await site.play(4 * INTERVAL_MS);
        }
        expect(replies).toEqual(accepted.map(() => ({ kind: "accepted" })));
        // Without the look-up some of them would have been refused.
        expect(site.metrics.render()).toMatch(/admission_decisions_total\{decision="stored",queue="plan"\} \d+/);
        site.close();
    });

    test("does not refuse or delay work within a guarantee", async () => {
        // The account `office` has a guarantee of 16 accelerators, the account of the overload has none.
        const site = await openOverloaded("urgent");
        expect(site.submitted.some(({ reply }) => isRefusedForLoad(reply))).toBe(true);
        const job = fixtures.createJob(LATER, { count: 8 }, { queue: "urgent" });
        const acceptedAt = site.clock.now();
        expect(await site.submitAndWait(job, 2)).toEqual({ kind: "accepted" });
        await site.clock.advance(2_900);
        const starts = fixtures.getStarts(site, job);
        expect(new Set(starts.map(start => start.task)).size).toBe(8);
        expect(Math.max(...starts.map(start => start.at)) - acceptedAt).toBeLessThan(2_900);
        site.close();
    });

    test("is accepted while no leader publishes its load, and by a new leader that has not measured it", async () => {
        const site = await openOverloaded("plan");
        const leader = site.getLeader()!;
        const lostAt = site.clock.now();
        site.powerOff(leader);
        await site.play(4_000);
        const later = site.submitted.filter(({ at }) => at >= lostAt + 2_000);
        expect(later.length).toBeGreaterThan(50);
        expect(later.filter(({ reply }) => reply && reply.kind !== "accepted")).toEqual([]);
        site.close();
        expect(site.workers.violations).toEqual([]);
    });

    test("is accepted by an instance that no longer sees the lease", async () => {
        // The feed of the lease fails for one instance, as if its link were too slow; it reaches the store otherwise.
        let isCut = false;
        const site = await openOverloaded("plan", {
            storeFaults: () => ({
                decide: (caller, call) => isCut && caller === "instance-2" && call === "feed" ? "refuse" : "none",
                lateMs: 0,
            }),
        });
        expect(site.getLeader()).not.toBe(2);
        const cutAt = site.clock.now();
        isCut = true;
        await site.play(5_000);
        const later = site.submitted.filter(({ at }) => at >= cutAt + 2_500);
        const countRefused = (isThere: (instance: number) => boolean) =>
            later.filter(({ instance, reply }) => isThere(instance) && isRefusedForLoad(reply)).length;
        expect(countRefused(instance => instance !== 2)).toBeGreaterThan(5);
        expect(countRefused(instance => instance === 2)).toBe(0);
        site.close();
    });

    test("that ends is accepted again", async () => {
        const site = await openOverloaded("plan");
        const { job } = site.submitted.findLast(({ reply }) => isRefusedForLoad(reply))!;
        await site.clock.advance(15_000);
        expect(await site.submitAndWait(job, 1)).toEqual({ kind: "accepted" });
        await site.clock.advance(30_000);
        expect(fixtures.getStarts(site, job)).toHaveLength(1);
        site.close();
    });
});
