import * as catalog from "../index";

const MOST_MS = 2_000;

describe("a configuration", () => {
    interface Step {
        readonly version: number | undefined;
        readonly ageMs: number;
        readonly fresh: boolean;
        /** Events of the lines that tell of it. */
        readonly told: readonly string[];
    }
    const cases: ReadonlyArray<{ readonly name: string; readonly steps: readonly Step[]; }> = [
        {
            name: "is fresh as long as a change may take",
            steps: [
                { version: 1, ageMs: 0, fresh: true, told: [] },
                { version: 1, ageMs: MOST_MS, fresh: true, told: [] },
            ],
        },
        {
            // Symptom: removed queues are served for good. Sequence: reads fail, or one of them takes longer than a
            // change may take. Cause: nothing asks how old the configuration is.
            name: "is stale once a change may be due that is not known here, which is told once",
            steps: [
                { version: 1, ageMs: MOST_MS + 1, fresh: false, told: ["configurationStale"] },
                { version: 1, ageMs: 9_000, fresh: false, told: [] },
                { version: 2, ageMs: 5, fresh: true, told: ["configurationFresh"] },
            ],
        },
        {
            name: "that has not been read yet is not fresh, which is no news",
            steps: [
                { version: undefined, ageMs: Infinity, fresh: false, told: [] },
                { version: 1, ageMs: 1, fresh: true, told: [] },
            ],
        },
    ];
    test.each(cases)("$name", ({ steps }) => {
        const told: string[] = [];
        const write = (event: string) => void told.push(event);
        let step = steps[0]!;
        const freshness = catalog.createFreshness({
            log: { info: write, warn: write, error: write },
            getVersion: () => step.version,
            getAgeMs: () => step.ageMs,
            getMaxAgeMs: () => MOST_MS,
        });
        for (step of steps) {
            told.length = 0;
            expect([freshness.isFresh(), ...told]).toEqual([step.fresh, ...step.told]);
        }
    });
});
