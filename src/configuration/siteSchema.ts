/** Shapes of the site's configuration file, checked on reading. Durations are whole milliseconds, memory mebibytes. */
import * as z from "zod";

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, "expected lower-case letters, digits, '-' or '.'");
const countSchema = z.number().int().min(0);
const durationSchema = z.number().int().min(0).max(30 * 24 * 3_600_000);

export const adjacencySchema = z.enum(["any", "worker", "rack", "adjacentRacks"]);
export type Adjacency = z.infer<typeof adjacencySchema>;

export const jobClassSchema = z.enum(["interactive", "urgent", "batch"]);
export type JobClass = z.infer<typeof jobClassSchema>;

export const keySchema = z.strictObject({
    /** SHA-256 of the key, in hexadecimal. */
    sha256: z.string().regex(/^[0-9a-f]{64}$/, "expected 64 hexadecimal digits"),
    /** Milliseconds since the epoch from which the key is refused. */
    expiresAtMs: z.number().int().positive().optional(),
});
export type AccountKey = z.infer<typeof keySchema>;

/** How a request that may run at most once is kept from running twice; docs/DESIGN.md weighs the three. */
export const onceSchema = z.discriminatedUnion("kind", [
    /** The worker that the request id hashes to remembers it. Needs no table service. */
    z.strictObject({ kind: z.literal("homeWorker") }),
    /** A row in the table service; refused while the service is down. */
    z.strictObject({ kind: z.literal("claimRow") }),
]);
export type OnceGuard = z.infer<typeof onceSchema>;

export const accountSchema = z.strictObject({
    name: nameSchema,
    /** Share of what is beyond guarantees, relative to the other accounts'. */
    weight: z.number().positive().max(1000).default(1),
    keys: z.array(keySchema).min(1),
    ratePerSecond: z.number().positive().default(1000),
    burst: z.number().int().positive().default(2000),
    maxUnfinishedJobs: countSchema.default(20_000),
    /** Most accelerators in use at one moment. */
    maxAccelerators: countSchema.default(100_000),
    once: onceSchema.default({ kind: "homeWorker" }),
});
export type Account = z.infer<typeof accountSchema>;

export const guaranteeSchema = z.strictObject({
    account: nameSchema,
    blocks: z.number().int().min(1).max(1000),
    acceleratorsPerBlock: z.number().int().min(1).max(128),
    adjacency: adjacencySchema,
    /** Zones the blocks may lie in; empty for any. */
    zones: z.array(nameSchema).default([]),
});
export type Guarantee = z.infer<typeof guaranteeSchema>;

export const presetSchema = z.strictObject({
    name: nameSchema,
    kind: z.enum(["ordinary", "peak", "maintenance"]),
    guarantees: z.array(guaranteeSchema).default([]),
    /** Workers a zone keeps free of guarantees, to take over those of failed ones. */
    spareWorkersPerZone: countSchema.default(0),
    /** Workers that get no new work while the preset is in force. */
    drainedWorkers: z.array(nameSchema).default([]),
});
export type Preset = z.infer<typeof presetSchema>;

export const capacitySchema = z.strictObject({
    accelerators: z.number().int().min(0).max(64),
    slots: z.number().int().min(1),
    cpus: z.number().min(1),
    memoryMb: z.number().int().min(1),
});

export type Capacity = z.infer<typeof capacitySchema>;

export const rackSchema = z.strictObject({
    id: nameSchema,
    zone: nameSchema,
    /** Of each worker of the rack, where it differs from the topology's. */
    capacity: capacitySchema.optional(),
    workers: z.array(z.strictObject({
        id: nameSchema,
        address: z.string().regex(/^[0-9A-Za-z.[\]:-]+:[0-9]+$/, "expected host:port"),
    })).min(1),
});

export const topologySchema = z.strictObject({
    /** Of each worker whose rack does not say otherwise. */
    capacity: capacitySchema,
    /** Racks in their order on the floor: neighbours of one zone in this list are adjacent. */
    racks: z.array(rackSchema).min(1),
    /** Zones of one region, nearest first after one's own; a zone without instances is adopted along this list. */
    zones: z.array(nameSchema).min(1),
});
export type Topology = z.infer<typeof topologySchema>;

export const policySchema = z.discriminatedUnion("kind", [
    /** Strict order of arrival, first worker that fits; the baseline. */
    z.strictObject({ kind: z.literal("fifoFirstFit") }),
    /** Order of arrival, jobs that do not fit are passed over, fullest worker that fits. */
    z.strictObject({ kind: z.literal("bestFit") }),
    /** Guarantees first, then fair shares with predictions, reservations for the large, and packing. */
    z.strictObject({
        kind: z.literal("guaranteed"),
        /** What completion time and fragmentation count for when a place is chosen; only their ratio matters. */
        completionWeight: z.number().min(0).default(1),
        fragmentationWeight: z.number().min(0).default(1),
    }),
]);
export type Policy = z.infer<typeof policySchema>;

export const limitsSchema = z.strictObject({
    /** Waiting interactive requests a rack. */
    interactiveQueue: countSchema.default(256),
    /** Waiting jobs a zone, of one account and class. */
    jobQueue: countSchema.default(20_000),
    /** Time in which borrowed work is stopped when its owner reclaims. */
    reclaimGraceMs: durationSchema.default(5_000),
    /** Slots, processors and memory of each worker that only interactive requests use. */
    interactiveReserve: z.strictObject({
        slots: countSchema.default(2),
        cpus: countSchema.default(2),
        memoryMb: countSchema.default(2048),
    }).default({ slots: 2, cpus: 2, memoryMb: 2048 }),
    /** Different workers a repeatable job may fail on before the failure is the job's own. */
    maxFailures: z.number().int().min(1).max(10).default(3),
});
export type Limits = z.infer<typeof limitsSchema>;

export const operatorSchema = z.strictObject({ name: nameSchema, keys: z.array(keySchema).min(1) });

/** Contract terms: everything but the topology. */
export const contractsSchema = z.strictObject({
    accounts: z.array(accountSchema).min(1),
    operators: z.array(operatorSchema).min(1),
    presets: z.array(presetSchema).min(1),
    policy: policySchema.default({ kind: "guaranteed", completionWeight: 1, fragmentationWeight: 1 }),
    limits: limitsSchema.default(limitsSchema.parse({})),
});
export type Contracts = z.infer<typeof contractsSchema>;

/** A whole site file. */
export const siteSchema = z.strictObject({
    ...contractsSchema.shape,
    /** Name of the preset in force. */
    preset: nameSchema,
    topology: topologySchema,
});
export type Site = z.infer<typeof siteSchema>;
