// Symptom: on a site of 3,000 workers a new leader starts nothing for seconds, and loses its lease to the next one.
// Sequence: a takeover, and looks at all workers in one go. Cause: writing them takes seconds, in which neither the
// lease is renewed nor an answer read, and workers on which something runs had no turn before the idle ones.
import * as clocks from "../../clock/index";
import * as firstLooks from "../initialPollLimiter";

const { PollPriority: Turn } = firstLooks;
const MOST = 32;

function createLooks(mostUnderWay?: number) {
    const time = clocks.createManualClock();
    const looks = firstLooks.createInitialPollLimiter(time, mostUnderWay);
    const begun: string[] = [];
    const leaves = new Map<string, () => void>();
    const enter = (name: string, turn: firstLooks.PollPriority) =>
        void looks.acquire(turn).then(leave => {
            begun.push(name);
            leaves.set(name, leave);
        });
    return { time, begun, enter, leave: (name: string) => leaves.get(name)!() };
}

function names(prefix: string, count: number): string[] {
    return Array.from({ length: count }, (_, number) => `${prefix}${number}`);
}

describe("first looks", () => {
    test("workers on which something runs come first, those that were silent last", async () => {
        const { time, begun, enter } = createLooks();
        enter("silent", Turn.Retry);
        enter("idle-1", Turn.Idle);
        enter("busy", Turn.Busy);
        enter("idle-2", Turn.Idle);
        await time.advance(1);
        expect(begun).toEqual(["busy", "idle-1", "idle-2", "silent"]);
    });

    test("without turns all are under way at once", async () => {
        const { time, begun, enter } = createLooks(Infinity);
        names("w", 3 * MOST).forEach(name => enter(name, Turn.Idle));
        await time.advance(1);
        expect(begun).toHaveLength(3 * MOST);
    });

    test("no more than a few are under way, and each answer lets the next one go", async () => {
        const { time, begun, enter, leave } = createLooks();
        names("w", 100).forEach(name => enter(name, Turn.Idle));
        await time.advance(1);
        expect(begun).toEqual(names("w", MOST));
        leave("w3");
        leave("w3");
        await time.advance(1);
        expect(begun).toEqual(names("w", MOST + 1));
    });

    test("workers that do not answer keep the others waiting for a tenth of a second", async () => {
        const { time, begun, enter, leave } = createLooks();
        names("silent", MOST).forEach(name => enter(name, Turn.Idle));
        enter("live", Turn.Idle);
        await time.advance(90);
        expect(begun).not.toContain("live");
        await time.advance(20);
        expect(begun).toContain("live");
        // Their late ends give no second turn away.
        names("silent", MOST).forEach(leave);
        names("next", 100).forEach(name => enter(name, Turn.Idle));
        await time.advance(1);
        expect(begun.filter(name => name.startsWith("next"))).toHaveLength(MOST - 1);
    });
});
