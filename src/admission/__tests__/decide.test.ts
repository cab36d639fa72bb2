import * as work from "../../work/index";
import * as admission from "../index";

const QUEUE = { name: "q", priority: 1, stretch: 3, objectiveMs: 1_000 };
const NEEDS: work.Resources = { cpuMillis: 1_000, memoryMb: 1, accelerators: 0 };

function createStep(fields: Partial<work.StepSpec> = {}): work.StepSpec {
    return { ...work.DEFAULT_STEP, count: 1, needs: NEEDS, estimateMs: 2_000, ...fields };
}

/** Work of 2 s with an objective of 7 s: 5 s of slack, and 19 s of waiting until it earns nothing. */
const SPEC = { steps: [createStep()], repeats: 0 };

function createView(
    waits: ReadonlyArray<readonly [slackMs: number, waitMs: number]>,
    ageMs = 0,
    lateWaitMs = 0,
): admission.LoadView {
    return {
        summary: {
            computedAt: 0,
            queues: new Map([["q", {
                waitingJobs: 9,
                lateWaitMs,
                waits: waits.map(([slackMs, waitMs]) => ({ slackMs, waitMs })),
            }]]),
            accountsBeyondGuarantee: new Set(["large"]),
        },
        ageMs,
    };
}

function decide(input: Partial<admission.AdmissionInput>): string {
    const decision = admission.decide({
        view: createView([[0, 19_001]]),
        queue: QUEUE,
        account: "small",
        spec: SPEC,
        ...input,
    });
    return decision.kind === "accept" ? decision.reason : decision.kind;
}

describe("a submission", () => {
    const cases: ReadonlyArray<readonly [name: string, input: Partial<admission.AdmissionInput>, expected: string]> = [
        ["that would wait too long", {}, "refuse"],
        ["that can just wait long enough", { view: createView([[0, 19_000]]) }, "canWait"],
        // A new job goes before all late work, so that an endless late wait does not concern it.
        [
            "that starts in time although late jobs wait endlessly",
            { view: createView([[0, 5_000]], 0, 9e5) },
            "canWait",
        ],
        ["that would be late, and late jobs wait endlessly", { view: createView([[0, 5_001]], 0, 9e5) }, "refuse"],
        ["that would be late, and late jobs are served soon", { view: createView([[0, 5_001]], 0, 9_000) }, "canWait"],
        ["without a summary", { view: undefined }, "noView"],
        ["with a summary of a lost leader", { view: createView([[0, 19_001]], 2_001) }, "staleView"],
        ["with a summary that is still in force", { view: createView([[0, 19_001]], 2_000) }, "refuse"],
        ["to a queue that is not in the summary", { queue: { ...QUEUE, name: "other" } }, "noWait"],
        // Guards against short jobs that are refused because of long ones that would be served after them.
        ["with less slack than the waiting work", { view: createView([[5_001, 90_000]]) }, "canWait"],
        ["with more slack than the waiting work", { view: createView([[4_999, 90_000], [9_000, 99_000]]) }, "refuse"],
        ["of priority 0 and an account within its guarantee", { queue: { ...QUEUE, priority: 0 } }, "withinGuarantee"],
        [
            "of priority 0 and an account beyond its guarantee",
            { queue: { ...QUEUE, priority: 0 }, account: "large" },
            "refuse",
        ],
        ["of a scheduled job", { spec: { ...SPEC, repeats: 3 } }, "noObjective"],
        ["of a lasting step", { spec: { ...SPEC, steps: [createStep({ lasting: true })] } }, "noObjective"],
        [
            "of two dependent steps, which can wait for longer",
            { spec: { ...SPEC, steps: [createStep(), createStep({ after: [0] })] } },
            "canWait",
        ],
        ["of two independent steps", { spec: { ...SPEC, steps: [createStep(), createStep()] } }, "refuse"],
    ];
    test.each(cases)("%s", (_name, input, expected) => expect(decide(input)).toBe(expected));

    test("is refused with the inputs that determined it", () => {
        const view = createView([[0, 30_000]], 700);
        expect(admission.decide({ view, queue: QUEUE, account: "x", spec: SPEC })).toEqual({
            kind: "refuse",
            inputs: { expectedWaitMs: 30_000, maxWaitMs: 19_000, capacityInMs: 25_000, viewAgeMs: 700 },
        });
    });
});

describe("Retry-After", () => {
    const IDS = Array.from({ length: 200 }, (_, number) => number.toString(16).padStart(16, "0"));
    const getAll = (priority: number, capacityInMs: number, sinceFirstRefusalMs = 0) =>
        IDS.map(jobId =>
            admission.getLoadRetryAfterMs({
                jobId,
                priority,
                inputs: { capacityInMs },
                sinceFirstRefusalMs,
            })
        );

    test("after a refusal for load is later for lower priorities, and spread within each", () => {
        const urgent = getAll(0, 8_000);
        const batch = getAll(2, 8_000);
        expect(Math.max(...urgent)).toBeLessThanOrEqual(10_000);
        expect(Math.min(...urgent)).toBeGreaterThanOrEqual(8_000);
        expect(Math.min(...batch)).toBeGreaterThan(Math.max(...urgent));
        // Guards against callers that return at once: each tenth of the spread gets some of them.
        const tenths = new Set(urgent.map(ms => Math.floor((ms - 8_000) / 200)));
        expect(tenths.size).toBeGreaterThanOrEqual(10);
    });

    test("is shorter for a caller that was refused before", () => {
        const [first] = getAll(1, 8_000);
        const [later] = getAll(1, 8_000, 3_000);
        expect(first! - later!).toBe(3_000);
    });

    test("is bounded in both directions", () => {
        expect(Math.min(...getAll(0, 1))).toBeGreaterThanOrEqual(500);
        expect(Math.min(...getAll(0, 1_000, 60_000))).toBeGreaterThanOrEqual(500);
        expect(Math.max(...getAll(9, 1e9))).toBeLessThanOrEqual(30_000);
    });

    test("in an outage of the store grows with its age, and is spread", () => {
        const getMean = (outageMs: number) =>
            IDS.reduce((sum, id) => sum + admission.getOutageRetryAfterMs(outageMs, id) / IDS.length, 0);
        expect(getMean(100)).toBeLessThan(640);
        expect(getMean(1_000)).toBeGreaterThan(1_000);
        expect(getMean(Infinity)).toBeGreaterThan(getMean(1_000));
        const late = IDS.map(id => admission.getOutageRetryAfterMs(Infinity, id));
        expect(Math.max(...late)).toBeLessThanOrEqual(2_000);
        expect(Math.max(...late) - Math.min(...late)).toBeGreaterThan(300);
        expect(new Set(late).size).toBeGreaterThan(100);
    });
});

describe("the memory of refusals", () => {
    test("returns the time since the first refusal of a job, and forgets it after a minute", () => {
        const memory = admission.createRefusalMemory();
        expect(memory.recordRefusal("a", 1_000)).toBe(0);
        expect(memory.recordRefusal("a", 3_000)).toBe(2_000);
        expect(memory.recordRefusal("a", 62_000)).toBe(0);
    });

    test("is bounded: the oldest job is forgotten first", () => {
        const memory = admission.createRefusalMemory();
        for (let number = 0; number <= 1_000; number++) {
            memory.recordRefusal(String(number), number);
        }
        expect(memory.recordRefusal("1", 1_001)).toBe(1_000);
        expect(memory.recordRefusal("0", 1_001)).toBe(0);
    });

    test("knows jobs whose write may still be carried out", () => {
        const memory = admission.createRefusalMemory();
        memory.recordUndecided("a", 0);
        expect(memory.mayBeWritten("a", 59_000)).toBe(true);
        expect(memory.mayBeWritten("b", 59_000)).toBe(false);
    });
});
