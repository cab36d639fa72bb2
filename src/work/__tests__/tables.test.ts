import * as work from "../index";

const JOBS = 16_000;

describe("parts of submissions", () => {
    test.each([
        { name: "consecutive", getId: (number: number) => number.toString(16).padStart(16, "0") },
        { name: "differing in their first digits", getId: (number: number) => number.toString(16).padEnd(16, "0") },
        {
            name: "random",
            getId: (number: number) => (number * 0x9e3779b1 >>> 0).toString(16).padStart(8, "0").repeat(2),
        },
    ])("are evenly filled by $name ids", ({ getId }) => {
        const counts = new Map<string, number>();
        for (let number = 1; number <= JOBS; number++) {
            const part = work.getIntakePart(getId(number));
            counts.set(part, (counts.get(part) ?? 0) + 1);
        }
        const even = JOBS / work.INTAKE_PARTS.length;
        expect(counts.size).toBe(work.INTAKE_PARTS.length);
        expect(Math.max(...counts.values())).toBeLessThan(1.3 * even);
        expect(Math.min(...counts.values())).toBeGreaterThan(0.7 * even);
    });

    test("include the part of any job id", () => {
        expect(work.INTAKE_PARTS).toContain(work.getIntakePart("00000000000000aa"));
    });
});
