/** The shape of a scenario file. Times are written as "90s", "5m", "2h"; docs/SCENARIOS.md teaches it. */
import * as z from "zod";
import * as configuration from "../configuration/index";

const UNITS_MS = { ms: 1, s: 1000, m: 60_000, h: 3_600_000 } as const;
const timeSchema = z.string().regex(
    /^\d+(\.\d+)?(ms|s|m|h)$/,
    "expected a time such as \"500ms\", \"90s\", \"5m\" or \"2h\"",
).transform(text => {
    const [, value, unit] = /^([\d.]+)(ms|s|m|h)$/.exec(text)!;
    return Number(value) * UNITS_MS[unit as keyof typeof UNITS_MS];
});

const siteSchema = z.strictObject({
    racks: z.number().int().min(1).max(16).default(1),
    workersPerRack: z.number().int().min(1).max(32).default(2),
    accelerators: z.number().int().min(1).max(8).default(8),
    slots: z.number().int().min(1).default(10),
    policy: z.enum(["fifoFirstFit", "bestFit", "guaranteed"]).default("guaranteed"),
    accounts: z.array(z.string()).default(["alpha", "beta"]),
    graceMs: z.number().int().default(5000),
    maxFailures: z.number().int().default(3),
});

const guaranteeSchema = z.strictObject({
    account: z.string(),
    blocks: z.number().int().default(1),
    accelerators: z.number().int(),
    adjacency: configuration.adjacencySchema.default("worker"),
});

const presetSchema = z.strictObject({
    name: z.string(),
    guarantees: z.array(guaranteeSchema).default([]),
    spares: z.number().int().default(0),
    drained: z.array(z.string()).default([]),
});

const jobSchema = z.strictObject({
    /** Name of the job, or the stem of the names when `count` is above 1. */
    id: z.string(),
    count: z.number().int().min(1).default(1),
    at: timeSchema.default(0),
    /** Time between two of them. */
    every: timeSchema.default(0),
    account: z.string().default("alpha"),
    class: z.enum(["urgent", "batch"]).default("batch"),
    accelerators: z.number().int().min(1).max(128).default(1),
    adjacency: configuration.adjacencySchema.default("any"),
    runs: timeSchema,
    /** What the caller declares; the true run time without it. */
    declared: timeSchema.optional(),
    startBy: timeSchema.optional(),
    repeatable: z.boolean().default(true),
    /** It fails wherever it runs. */
    fails: z.boolean().default(false),
    cancelAt: timeSchema.optional(),
});

const faultSchema = z.strictObject({
    at: timeSchema,
    until: timeSchema.optional(),
    kind: z.enum([
        "storeDown",
        "storeLosesAnswers",
        "workerLost",
        "workerFailsTasks",
        "rackSilent",
        "rackLosesAnswers",
        "ownerKilled",
        "presetUsed",
    ]),
    /** The worker, rack or preset it concerns. */
    target: z.string().default(""),
});

const expectSchema = z.strictObject({
    at: timeSchema,
    /** A job, or all jobs whose names start with a stem followed by `*`. */
    job: z.string().optional(),
    state: z.enum(["queued", "placed", "done", "failed", "notRun"]).optional(),
    /** Times that the work was started at workers, at most. */
    startsAtMost: z.number().int().optional(),
    waitAtMost: timeSchema.optional(),
    ranOn: z.array(z.string()).optional(),
    /** Whole-run counts. */
    partialGangs: z.number().int().optional(),
    doubleStarts: z.number().int().optional(),
    overbooked: z.number().int().optional(),
    unfinished: z.number().int().optional(),
    fragmentationAtMost: z.number().optional(),
    evictionsAtMost: z.number().int().optional(),
    evictionsAtLeast: z.number().int().optional(),
});

export const scenarioSchema = z.strictObject({
    about: z.string(),
    /** How long to run. */
    until: timeSchema,
    site: siteSchema.default(siteSchema.parse({})),
    preset: z.array(presetSchema).default([{ name: "ordinary", guarantees: [], spares: 0, drained: [] }]),
    job: z.array(jobSchema).default([]),
    fault: z.array(faultSchema).default([]),
    expect: z.array(expectSchema).min(1),
});
export type Scenario = z.infer<typeof scenarioSchema>;
