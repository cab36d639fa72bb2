import * as random from "../../src/random/index";
import * as troubles from "../faultInjection";

const OPTIONS = { instances: 5, workers: 9, lastMs: 20_000, count: 200 };

test("the plan depends on the seed alone, every kind comes, and all troubles end in time", () => {
    const create = (seed: number) => troubles.createFaultSchedule(random.createRandom(seed), OPTIONS);
    expect(create(7)).toEqual(create(7));
    expect(create(7)).not.toEqual(create(8));
    expect(new Set(create(7).map(item => item.trouble.kind)).size).toBe(14);
    for (const { at, forMs } of create(7)) {
        expect(forMs).toBeGreaterThan(0);
        expect(at + forMs).toBeLessThanOrEqual(OPTIONS.lastMs);
    }
});

test("faults that overlap end one by one", () => {
    const board = troubles.createFaultInjector(random.createRandom(1));
    const endFirst = board.addWorkerFault("w", 1, "late");
    const endSecond = board.addWorkerFault("w", 1, "cut");
    const endSlow = board.addSlowness("w", 4);
    const endSlower = board.addSlowness("w", 20);
    expect(board.workerFaults.decide("w", "start")).toBe("late");
    expect(board.workerFaults.decide("other", "start")).toBe("none");
    expect(board.workerFaults.getSlowdown("w")).toBe(20);
    endFirst();
    endSlower();
    expect(board.workerFaults.decide("w", "start")).toBe("cut");
    expect(board.workerFaults.getSlowdown("w")).toBe(4);
    endSecond();
    endSlow();
    expect(board.workerFaults.decide("w", "start")).toBe("none");
    expect(board.workerFaults.getSlowdown("w")).toBe(1);
});
