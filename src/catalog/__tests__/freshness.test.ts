import * as catalog from "../index";

const MAX_AGE_MS = 2_000;

describe("a configuration", () => {
    interface Step {
        readonly version: number | undefined;
        readonly ageMs: number;
        readonly fresh: boolean;
        /** Events expected in the log. */
        readonly events: readonly string[];
    }
    const cases: ReadonlyArray<{ readonly name: string; readonly steps: readonly Step[]; }> = [
        {
            name: "is fresh up to the maximum age",
            steps: [
                { version: 1, ageMs: 0, fresh: true, events: [] },
                { version: 1, ageMs: MAX_AGE_MS, fresh: true, events: [] },
            ],
        },
        {
            // Guards against removed queues that are served forever: reads fail, or one takes longer than a change may
            // take, and nothing checks the age of the configuration.
            name: "is stale beyond the maximum age, which is logged once",
            steps: [
                { version: 1, ageMs: MAX_AGE_MS + 1, fresh: false, events: ["configurationStale"] },
                { version: 1, ageMs: 9_000, fresh: false, events: [] },
                { version: 2, ageMs: 5, fresh: true, events: ["configurationFresh"] },
            ],
        },
        {
            name: "that has not been read yet is not fresh, which is not logged",
            steps: [
                { version: undefined, ageMs: Infinity, fresh: false, events: [] },
                { version: 1, ageMs: 1, fresh: true, events: [] },
            ],
        },
    ];
    test.each(cases)("$name", ({ steps }) => {
        const loggedEvents: string[] = [];
        const write = (event: string) => void loggedEvents.push(event);
        let step = steps[0]!;
        const freshness = catalog.createFreshness({
            log: { info: write, warn: write, error: write },
            getVersion: () => step.version,
            getAgeMs: () => step.ageMs,
            getMaxAgeMs: () => MAX_AGE_MS,
        });
        for (step of steps) {
            loggedEvents.length = 0;
            expect([freshness.isFresh(), ...loggedEvents]).toEqual([step.fresh, ...step.events]);
        }
    });
});
