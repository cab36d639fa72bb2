import * as admission from "../index";

interface Sample {
    readonly ahead?: readonly admission.WorkAhead[];
    readonly heldCores?: number;
    readonly freeCores?: number;
    readonly arrivedCoreSeconds?: number;
}

const AHEAD: readonly admission.WorkAhead[] = [{ slackMs: 1_000, coreSeconds: 300 }];

/** Observes one queue every half second; `getSample` gets the time in milliseconds. */
function observe(durationMs: number, getSample: (at: number) => Sample, skip: (at: number) => boolean = () => false) {
    const meter = admission.createLoadMeter();
    let load: admission.QueueLoad | undefined;
    for (let at = 0; at <= durationMs; at += 500) {
        if (!skip(at)) {
            load = meter.observe(at, [
                {
                    queue: "q",
                    waitingJobs: 3,
                    ahead: AHEAD,
                    arrivedCoreSeconds: 0,
                    heldCores: 10,
                    freeCores: 0,
                    ...getSample(at),
                },
            ]).get("q");
        }
    }
    return load;
}

function getWait(load: admission.QueueLoad | undefined): number | undefined {
    return load && admission.getLongestWaitMs(load);
}

describe("the expected wait", () => {
    test("is the work ahead divided by the rate at which the queue is served", () => {
        expect(getWait(observe(12_000, () => ({})))).toBeCloseTo(30_000);
    });

    test("is unknown until the backlog has lasted longer than a burst of callers", () => {
        expect(observe(9_500, () => ({}))).toBeUndefined();
        expect(observe(10_000, () => ({}))).toBeDefined();
    });

    test("is unknown after a pause in the backlog", () => {
        // Guards against an endless wait of a queue that had nothing to do, and so was served at rate 0.
        expect(observe(15_000, at => at < 8_000 ? { ahead: [], heldCores: 0 } : {})).toBeUndefined();
    });

    test("is unknown after a pause of the leader", () => {
        expect(observe(15_000, () => ({}), at => at > 5_000 && at < 9_000)).toBeUndefined();
    });

    test("counts free workers as available to the queue", () => {
        // Guards against refusals because of a gang that fits nowhere, while smaller jobs would start at once.
        expect(getWait(observe(12_000, () => ({ freeCores: 90 })))).toBeCloseTo(3_000);
    });

    test("shrinks at once when the queue gets more workers, and grows slowly when it gets fewer", () => {
        expect(getWait(observe(20_000, at => ({ heldCores: at < 20_000 ? 10 : 30 })))).toBeCloseTo(10_000);
        const afterLoss = getWait(observe(20_000, at => ({ heldCores: at < 18_000 ? 10 : 1 })))!;
        expect(afterLoss).toBeGreaterThan(30_000);
        expect(afterLoss).toBeLessThan(40_000);
    });

    test("is unknown while the queue is not served at all", () => {
        expect(observe(20_000, () => ({ heldCores: 0 }))).toBeUndefined();
    });

    test.each([
        ["nothing arrives", 0, 30_000],
        ["half of what is served arrives", 2.5, 60_000],
        ["as much arrives as is served", 5, 3_600_000],
        ["more arrives than is served", 50, 3_600_000],
    ])("of late work, if %s, is that behind the work that arrives", (_name, arrivedCoreSeconds, expected) => {
        expect(observe(20_000, () => ({ arrivedCoreSeconds }))!.lateWaitMs).toBeCloseTo(expected);
    });

    test("is stated by slack, in at most four points", () => {
        const ahead = Array.from({ length: 40 }, (_, number) => ({ slackMs: 4_000 - 100 * number, coreSeconds: 10 }));
        const waits = observe(12_000, () => ({ ahead }))!.waits;
        expect(waits.map(point => [point.slackMs, Math.round(point.waitMs)])).toEqual([
            [1_000, 10_000],
            [2_000, 20_000],
            [3_000, 30_000],
            [4_000, 40_000],
        ]);
    });
});
