import * as work from "../index";

const ROW_BYTES = 65_536;

function createSpec(counts: readonly number[], repeats = 0): work.JobSpec {
    const needs = { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 1 };
    const steps = counts.map(count => ({ ...work.DEFAULT_STEP, count, needs, estimateMs: 1_000 }));
    return { payload: "", steps, repeats, firstDueAt: 0, periodMs: 0 };
}

describe("the limits of a job", () => {
    const cases: ReadonlyArray<readonly [name: string, spec: work.JobSpec, excess: RegExp | undefined]> = [
        ["accept a job of moderate size", createSpec([128, 128, 128]), undefined],
        ["accept a job with many occurrences", createSpec([5], 10_000), undefined],
        ["reject a job with too many tasks", createSpec([1e9]), /1000000000 tasks/],
        ["reject a job whose progress exceeds a row", createSpec([700, 700]), /1400 tasks.*1170/],
        ["reject a job with too many occurrences to list", createSpec([1], 10_001), /10001 occurrences/],
        [
            "reject a job whose row is too large",
            createSpec(new Array<number>(300).fill(1)),
            /bytes, more than the 65536/,
        ],
        ["reject a job with too many tasks over all occurrences", createSpec([100], 1_000), /100000 tasks over all/],
    ];
    test.each(cases)("%s", (_name, spec, excess) => {
        const found = work.findExceededLimit(spec, JSON.stringify(spec).length, ROW_BYTES);
        expect(found === undefined).toBe(excess === undefined);
        expect(found?.reason ?? "").toMatch(excess ?? /^$/);
    });

    test("guarantee that the progress fits into a row in the worst case", () => {
        const tasks = Array.from({ length: 1_170 }, (_, index): work.TaskProgress => ({
            kind: "placed",
            run: 99_999,
            failures: 99,
            crashBudgetUsed: 29,
            knownCrashes: 10,
            saved: "00000bb87a21d94b",
            workerId: `i-${(0xffffffffff - index).toString(16)}`,
        }));
        expect(work.encodeOccurrence([tasks]).length).toBeLessThan(ROW_BYTES);
    });
});
