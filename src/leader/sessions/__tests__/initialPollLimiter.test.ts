// Guards against a new leader that starts nothing for seconds and loses its lease: after a takeover on a site of 3,000
// workers, sending all first polls at once blocks lease renewals and the reading of answers, and polls of idle workers
// delay those of workers with tasks.
import * as clocks from "../../../clock/index";
import * as initialPollLimiter from "../initialPollLimiter";

const { PollPriority } = initialPollLimiter;
const LIMIT = 32;

function createLimiter(maxInFlight?: number) {
    const time = clocks.createManualClock();
    const limiter = initialPollLimiter.createInitialPollLimiter(time, maxInFlight);
    const admitted: string[] = [];
    const releases = new Map<string, () => void>();
    const acquire = (name: string, priority: initialPollLimiter.PollPriority) =>
        void limiter.acquire(priority).then(release => {
            admitted.push(name);
            releases.set(name, release);
        });
    return { time, admitted, acquire, release: (name: string) => releases.get(name)!() };
}

function names(prefix: string, count: number): string[] {
    return Array.from({ length: count }, (_, number) => `${prefix}${number}`);
}

describe("first polls", () => {
    test("workers with tasks are polled first, workers that did not answer before last", async () => {
        const { time, admitted, acquire } = createLimiter();
        acquire("silent", PollPriority.Retry);
        acquire("idle-1", PollPriority.Idle);
        acquire("busy", PollPriority.Busy);
        acquire("idle-2", PollPriority.Idle);
        await time.advance(1);
        expect(admitted).toEqual(["busy", "idle-1", "idle-2", "silent"]);
    });

    test("without a limit all polls are in flight at once", async () => {
        const { time, admitted, acquire } = createLimiter(Infinity);
        names("w", 3 * LIMIT).forEach(name => acquire(name, PollPriority.Idle));
        await time.advance(1);
        expect(admitted).toHaveLength(3 * LIMIT);
    });

    test("the number in flight is limited, and each answer admits one more", async () => {
        const { time, admitted, acquire, release } = createLimiter();
        names("w", 100).forEach(name => acquire(name, PollPriority.Idle));
        await time.advance(1);
        expect(admitted).toEqual(names("w", LIMIT));
        release("w3");
        release("w3");
        await time.advance(1);
        expect(admitted).toEqual(names("w", LIMIT + 1));
    });

    test("polls without an answer hold their slots for 100 ms", async () => {
        const { time, admitted, acquire, release } = createLimiter();
        names("silent", LIMIT).forEach(name => acquire(name, PollPriority.Idle));
        acquire("live", PollPriority.Idle);
        await time.advance(90);
        expect(admitted).not.toContain("live");
        await time.advance(20);
        expect(admitted).toContain("live");
        // A late release must not free the slot a second time.
        names("silent", LIMIT).forEach(release);
        names("next", 100).forEach(name => acquire(name, PollPriority.Idle));
        await time.advance(1);
        expect(admitted.filter(name => name.startsWith("next"))).toHaveLength(LIMIT - 1);
    });
});
