import * as random from "../../src/random/index";
import * as faultInjection from "../faultInjection";

const OPTIONS = { instances: 5, workers: 9, windowMs: 20_000, count: 200 };

test("the schedule depends on the seed alone, has every kind of fault, and all faults end within the window", () => {
    const create = (seed: number) => faultInjection.createFaultSchedule(random.createRandom(seed), OPTIONS);
    expect(create(7)).toEqual(create(7));
    expect(create(7)).not.toEqual(create(8));
    expect(new Set(create(7).map(item => item.fault.kind)).size).toBe(14);
    for (const { startAfterMs, durationMs } of create(7)) {
        expect(durationMs).toBeGreaterThan(0);
        expect(startAfterMs + durationMs).toBeLessThanOrEqual(OPTIONS.windowMs);
    }
});

test("overlapping faults end independently", () => {
    const injector = faultInjection.createFaultInjector(random.createRandom(1));
    const endFirst = injector.addWorkerFault("w", 1, "late");
    const endSecond = injector.addWorkerFault("w", 1, "cut");
    const endSlow = injector.addSlowdown("w", 4);
    const endSlower = injector.addSlowdown("w", 20);
    expect(injector.workerFaults.decide("w", "start")).toBe("late");
    expect(injector.workerFaults.decide("other", "start")).toBe("none");
    expect(injector.workerFaults.getSlowdown("w")).toBe(20);
    endFirst();
    endSlower();
    expect(injector.workerFaults.decide("w", "start")).toBe("cut");
    expect(injector.workerFaults.getSlowdown("w")).toBe(4);
    endSecond();
    endSlow();
    expect(injector.workerFaults.decide("w", "start")).toBe("none");
    expect(injector.workerFaults.getSlowdown("w")).toBe(1);
});
