/** Schema of a scenario file, which docs/SCENARIOS.md describes. Times are strings such as "90s", "5m" or "2h". */
import * as z from "zod";
import * as configuration from "../configuration/index";

const UNITS_MS = { ms: 1, s: 1000, m: 60_000, h: 3_600_000 } as const;
/** Parses a time into milliseconds. */
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
    /** Name of the job; if `count` is above 1, prefix of the names, which end in -0, -1 and so on. */
    id: z.string(),
    count: z.number().int().min(1).default(1),
    at: timeSchema.default(0),
    /** Interval between the submissions of two jobs. */
    every: timeSchema.default(0),
    account: z.string().default("alpha"),
    class: z.enum(["urgent", "batch"]).default("batch"),
    accelerators: z.number().int().min(1).max(128).default(1),
    adjacency: configuration.adjacencySchema.default("any"),
    /** Actual run time. */
    runs: timeSchema,
    /** Run time that the caller declares; default is the actual one. */
    declared: timeSchema.optional(),
    startBy: timeSchema.optional(),
    repeatable: z.boolean().default(true),
    /** Whether every run fails, on any worker. */
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
    /** Id of the affected worker or rack, or name of the preset; empty for the store and the owner. */
    target: z.string().default(""),
});

const expectSchema = z.strictObject({
    at: timeSchema,
    /** Name of a job, or a prefix followed by `*` for all jobs with it. */
    job: z.string().optional(),
    state: z.enum(["queued", "placed", "done", "failed", "notRun"]).optional(),
    /** Maximum number of times that the job was started on workers. */
    startsAtMost: z.number().int().optional(),
    /** Maximum time from submission to the first start. */
    waitAtMost: timeSchema.optional(),
    /** Ids of the workers of the latest attempt. */
    ranOn: z.array(z.string()).optional(),
    /** Counts over the whole run, up to `at`. */
    partialGangs: z.number().int().optional(),
    doubleStarts: z.number().int().optional(),
    overbooked: z.number().int().optional(),
    unfinished: z.number().int().optional(),
    fragmentationAtMost: z.number().optional(),
    evictionsAtMost: z.number().int().optional(),
    evictionsAtLeast: z.number().int().optional(),
});

/** A whole scenario file. */
export const scenarioSchema = z.strictObject({
    about: z.string(),
    /** Length of the run. */
    until: timeSchema,
    site: siteSchema.default(siteSchema.parse({})),
    preset: z.array(presetSchema).default([{ name: "ordinary", guarantees: [], spares: 0, drained: [] }]),
    job: z.array(jobSchema).default([]),
    fault: z.array(faultSchema).default([]),
    expect: z.array(expectSchema).min(1),
});
/** A scenario with its defaults filled in; times are in milliseconds. */
export type Scenario = z.infer<typeof scenarioSchema>;
