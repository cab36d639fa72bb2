/** Schemas of the site file. Durations are whole milliseconds; memory is in mebibytes. */
import * as z from "zod";

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, "expected lower-case letters, digits, '-' or '.'");
const countSchema = z.number().int().min(0);
const durationSchema = z.number().int().min(0).max(30 * 24 * 3_600_000);

/** Where the accelerators of a block must lie: anywhere, on one worker, in one rack, or in racks next to each other. */
export const adjacencySchema = z.enum(["any", "worker", "rack", "adjacentRacks"]);
export type Adjacency = z.infer<typeof adjacencySchema>;

/** Service class of a job. */
export const jobClassSchema = z.enum(["interactive", "urgent", "batch"]);
export type JobClass = z.infer<typeof jobClassSchema>;

/** An API key. Only its digest is stored. */
export const keySchema = z.strictObject({
    /** SHA-256 of the key, in hexadecimal. */
    sha256: z.string().regex(/^[0-9a-f]{64}$/, "expected 64 hexadecimal digits"),
    /** Time from which the key is refused, in milliseconds since the epoch. */
    expiresAtMs: z.number().int().positive().optional(),
});
export type AccountKey = z.infer<typeof keySchema>;

/** How a request that may run at most once is kept from running twice; docs/DESIGN.md compares the alternatives. */
export const onceSchema = z.discriminatedUnion("kind", [
    /** The worker that the request id hashes to records it. Needs no table service. */
    z.strictObject({ kind: z.literal("homeWorker") }),
    /** A row in the table service records it; requests are refused while the service is down. */
    z.strictObject({ kind: z.literal("claimRow") }),
]);
export type OnceGuard = z.infer<typeof onceSchema>;

/** A client account. */
export const accountSchema = z.strictObject({
    name: nameSchema,
    /** Share of the capacity that is not under guarantee, relative to the weights of the other accounts. */
    weight: z.number().positive().max(1000).default(1),
    keys: z.array(keySchema).min(1),
    /** Requests per second. */
    ratePerSecond: z.number().positive().default(1000),
    /** Requests that may arrive at once beyond the rate. */
    burst: z.number().int().positive().default(2000),
    maxUnfinishedJobs: countSchema.default(20_000),
    /** Maximum number of accelerators in use at the same time. */
    maxAccelerators: countSchema.default(100_000),
    once: onceSchema.default({ kind: "homeWorker" }),
});
export type Account = z.infer<typeof accountSchema>;

/** Accelerators that are guaranteed to an account: a number of blocks of equal size. */
export const guaranteeSchema = z.strictObject({
    account: nameSchema,
    blocks: z.number().int().min(1).max(1000),
    acceleratorsPerBlock: z.number().int().min(1).max(128),
    adjacency: adjacencySchema,
    /** Zones in which the blocks may lie; empty for any zone. */
    zones: z.array(nameSchema).default([]),
});
export type Guarantee = z.infer<typeof guaranteeSchema>;

/** A set of guarantees, of which one is in force at a time. */
export const presetSchema = z.strictObject({
    name: nameSchema,
    kind: z.enum(["ordinary", "peak", "maintenance"]),
    guarantees: z.array(guaranteeSchema).default([]),
    /** Number of workers in each zone that hold no guarantees and replace failed workers that do. */
    spareWorkersPerZone: countSchema.default(0),
    /** Ids of workers that receive no new work while the preset is in force. */
    drainedWorkers: z.array(nameSchema).default([]),
});
export type Preset = z.infer<typeof presetSchema>;

/** Resources of a worker. */
export const capacitySchema = z.strictObject({
    accelerators: z.number().int().min(0).max(64),
    slots: z.number().int().min(1),
    cpus: z.number().min(1),
    memoryMb: z.number().int().min(1),
});

export type Capacity = z.infer<typeof capacitySchema>;

/** A rack and its workers. */
export const rackSchema = z.strictObject({
    id: nameSchema,
    zone: nameSchema,
    /** Capacity of each worker of the rack; defaults to the capacity of the topology. */
    capacity: capacitySchema.optional(),
    workers: z.array(z.strictObject({
        id: nameSchema,
        address: z.string().regex(/^[0-9A-Za-z.[\]:-]+:[0-9]+$/, "expected host:port"),
    })).min(1),
});

/** Zones, racks and workers of the site. */
export const topologySchema = z.strictObject({
    /** Capacity of each worker whose rack does not set its own. */
    capacity: capacitySchema,
    /** Racks in their physical order: consecutive racks of the same zone are adjacent. */
    racks: z.array(rackSchema).min(1),
    /** Zones of one region, in order of distance: a zone without live instances is served by the next in the list. */
    zones: z.array(nameSchema).min(1),
});
export type Topology = z.infer<typeof topologySchema>;

/** The placement policy. */
export const policySchema = z.discriminatedUnion("kind", [
    /** Strict order of arrival, first worker with enough free resources. The baseline for comparisons. */
    z.strictObject({ kind: z.literal("fifoFirstFit") }),
    /** Order of arrival, fullest worker with enough free resources. Jobs that do not fit are skipped. */
    z.strictObject({ kind: z.literal("bestFit") }),
    /** Guarantees first, then fair shares with run time predictions, reservations for large jobs, and packing. */
    z.strictObject({
        kind: z.literal("guaranteed"),
        /** Weights of completion time and fragmentation when a place is chosen; only their ratio matters. */
        completionWeight: z.number().min(0).default(1),
        fragmentationWeight: z.number().min(0).default(1),
    }),
]);
export type Policy = z.infer<typeof policySchema>;

/** Limits that apply to the whole site. */
export const limitsSchema = z.strictObject({
    /** Maximum number of waiting interactive requests per rack. */
    interactiveQueue: countSchema.default(256),
    /** Maximum number of waiting jobs per zone, account and class. */
    jobQueue: countSchema.default(20_000),
    /** Time allowed to stop work on borrowed accelerators when the account that owns the guarantee reclaims them. */
    reclaimGraceMs: durationSchema.default(5_000),
    /** Slots, processors and memory of each worker that are reserved for interactive requests. */
    interactiveReserve: z.strictObject({
        slots: countSchema.default(2),
        cpus: countSchema.default(2),
        memoryMb: countSchema.default(2048),
    }).default({ slots: 2, cpus: 2, memoryMb: 2048 }),
    /** Number of different workers on which a repeatable job must fail before the failure is attributed to the job. */
    maxFailures: z.number().int().min(1).max(10).default(3),
});
export type Limits = z.infer<typeof limitsSchema>;

/** An operator. */
export const operatorSchema = z.strictObject({ name: nameSchema, keys: z.array(keySchema).min(1) });

/** The contracts: everything but the topology and the name of the preset in force. */
export const contractsSchema = z.strictObject({
    accounts: z.array(accountSchema).min(1),
    operators: z.array(operatorSchema).min(1),
    presets: z.array(presetSchema).min(1),
    /** Availability zones whose workers receive no new work, whichever preset is in force. */
    evacuatedZones: z.array(nameSchema).default([]),
    policy: policySchema.default({ kind: "guaranteed", completionWeight: 1, fragmentationWeight: 1 }),
    limits: limitsSchema.default(limitsSchema.parse({})),
});
export type Contracts = z.infer<typeof contractsSchema>;

/** A complete site file. */
export const siteSchema = z.strictObject({
    ...contractsSchema.shape,
    /** Name of the preset in force. */
    preset: nameSchema,
    topology: topologySchema,
});
export type Site = z.infer<typeof siteSchema>;
