/** Runs all scenario files, and random scenarios that check invariants. */
import * as fc from "fast-check";
import * as fs from "node:fs";
import * as path from "node:path";
import * as scenario from "../index";

const ROOT = path.resolve(__dirname, "../../../scenarios");

function listFiles(folder: string): string[] {
    return fs.readdirSync(folder).filter(name => name.endsWith(".toml")).map(name => path.join(folder, name));
}

test.each(
    [...listFiles(ROOT), ...listFiles(path.join(ROOT, "faults"))].map(file => ({
        name: path.relative(ROOT, file),
        file,
    })),
)(
    "$name",
    async ({ file }) => {
        const read = scenario.readScenarioFile(file);
        const { failures } = await scenario.runScenario(read.scenario, { seed: 1 });
        expect(failures).toEqual([]);
    },
);

test("a scenario gives the same result for the same seed", async () => {
    const read = scenario.readScenarioFile(path.join(ROOT, "faults", "rack-loses-answers.toml"));
    const runs = await Promise.all([1, 1].map(seed => scenario.runScenario(read.scenario, { seed })));
    expect(runs[0]).toEqual(runs[1]);
});

test("a failed expectation names the expected and the seen value", async () => {
    const failing = scenario.scenarioSchema.parse({
        about: "a job that cannot be done yet",
        until: "20s",
        job: [{ id: "a", at: "5s", runs: "10m" }],
        expect: [{ at: "10s", job: "a", state: "done" }],
    });
    const { failures } = await scenario.runScenario(failing, { seed: 1 });
    expect(failures).toEqual([{ index: 0, atMs: 10_000, expected: "a done", seen: "placed" }]);
});

const jobArbitrary = fc.record({
    at: fc.integer({ min: 5, max: 120 }).map(seconds => `${seconds}s`),
    account: fc.constantFrom("alpha", "beta"),
    class: fc.constantFrom("batch", "urgent"),
    accelerators: fc.constantFrom(1, 1, 2, 3, 4, 8, 16),
    adjacency: fc.constantFrom("any", "rack"),
    runs: fc.integer({ min: 1, max: 90 }).map(seconds => `${seconds}s`),
    declared: fc.integer({ min: 1, max: 300 }).map(seconds => `${seconds}s`),
    repeatable: fc.boolean(),
});

const faultArbitrary = fc.record({
    kind: fc.constantFrom(
        "storeDown",
        "storeLosesAnswers",
        "workerLost",
        "rackSilent",
        "rackLosesAnswers",
        "ownerKilled",
        "workerFailsTasks",
    ),
    from: fc.integer({ min: 1, max: 100 }),
    lasts: fc.integer({ min: 1, max: 60 }),
    worker: fc.integer({ min: 1, max: 3 }),
}).map(({ kind, from, lasts, worker }) => ({
    kind,
    at: `${from}s`,
    until: `${from + lasts}s`,
    target: kind.startsWith("rack") ? "r1" : `r1-w${worker}`,
}));

test(
    "random jobs and faults cause no partial gang, no overbooking and no double start, and every job ends",
    async () => {
        await fc.assert(
            fc.asyncProperty(
                fc.array(jobArbitrary, { minLength: 1, maxLength: 30 }),
                fc.array(faultArbitrary, { maxLength: 4 }),
                fc.boolean(),
                fc.integer({ min: 1, max: 1000 }),
                async (jobs, fault, guaranteed, seed) => {
                    const random = scenario.scenarioSchema.parse({
                        about: "random",
                        until: "40m",
                        site: { workersPerRack: 3 },
                        preset: [{
                            name: "ordinary",
                            guarantees: guaranteed
                                ? [{ account: "beta", accelerators: 8 }, { account: "alpha", accelerators: 4 }]
                                : [],
                        }],
                        job: jobs.map((job, index) => ({ ...job, id: `j${index}` })),
                        fault,
                        expect: [{ at: "40m", unfinished: 0, partialGangs: 0, doubleStarts: 0, overbooked: 0 }],
                    });
                    const { failures } = await scenario.runScenario(random, { seed });
                    expect(failures).toEqual([]);
                },
            ),
            { numRuns: Number(process.env["FUZZ_RUNS"] ?? 40), seed: Number(process.env["FUZZ_SEED"] ?? 1) },
        );
    },
    600_000,
);

test("random borrowers never keep guaranteed accelerators beyond the grace period", async () => {
    await fc.assert(
        fc.asyncProperty(
            fc.array(jobArbitrary, { minLength: 5, maxLength: 40 }),
            fc.integer({ min: 1, max: 1000 }),
            async (jobs, seed) => {
                const borrowers = jobs.map((job, index) => ({
                    ...job,
                    id: `j${index}`,
                    account: "alpha",
                    class: "batch",
                }));
                const owner = {
                    id: "owner",
                    at: "130s",
                    account: "beta",
                    accelerators: 16,
                    adjacency: "rack",
                    runs: "10s",
                };
                const random = scenario.scenarioSchema.parse({
                    about: "random borrowers",
                    until: "4m",
                    site: { workersPerRack: 3 },
                    preset: [{
                        name: "ordinary",
                        guarantees: [{ account: "beta", accelerators: 16, adjacency: "rack" }],
                    }],
                    job: [...borrowers, owner],
                    expect: [{ at: "200s", job: "owner", state: "done", waitAtMost: "6s" }],
                });
                expect((await scenario.runScenario(random, { seed })).failures).toEqual([]);
            },
        ),
        { numRuns: Number(process.env["FUZZ_RUNS"] ?? 40), seed: Number(process.env["FUZZ_SEED"] ?? 1) },
    );
}, 600_000);
