/** Schema of an instance's settings. Durations are whole milliseconds. */
import * as z from "zod";

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, "expected lower-case letters, digits, '-' or '.'");
const addressSchema = z.string().regex(/^[0-9A-Za-z.[\]:-]+:[0-9]{1,5}$/, "expected host:port");
const originSchema = z.string().regex(
    /^https?:\/\/[0-9A-Za-z.[\]:-]+$/,
    "expected http://host:port or https://host:port",
);
const durationSchema = z.number().int().min(1).max(24 * 3_600_000);

/** Files of the mutual TLS between instances. */
export const tlsSchema = z.strictObject({
    /** PEM files. They are read again when they change, so that keys can be rotated without a restart. */
    certFile: z.string(),
    keyFile: z.string(),
    caFile: z.string(),
});
export type TlsSettings = z.infer<typeof tlsSchema>;

/** Settings of one instance, with their defaults. */
export const instanceSettingsSchema = z.strictObject({
    instance: z.strictObject({ id: nameSchema, zone: nameSchema }),
    listen: z.strictObject({
        /** Address of the callers HTTP API. */
        callers: addressSchema,
        /** Address of the operators HTTP API. */
        operators: addressSchema,
        /** Address for gRPC between instances; also announced to the other instances. */
        peers: addressSchema,
    }),
    platform: z.strictObject({
        origin: originSchema,
        timeoutMs: durationSchema.default(1000),
        connections: z.number().int().min(1).max(256).default(16),
        writesPerSecond: z.number().int().min(1).default(60),
        readsPerSecond: z.number().int().min(1).default(200),
    }),
    site: z.strictObject({
        /** Site file that becomes revision 1 when the table service holds no configuration. */
        bootstrapFile: z.string().optional(),
        pollMs: durationSchema.default(1000),
        /** Time from the acceptance of a configuration change until it takes effect. */
        leadMs: durationSchema.default(2500),
    }).default({ pollMs: 1000, leadMs: 2500 }),
    leases: z.strictObject({
        controlMs: durationSchema.default(3000),
        taskMs: durationSchema.default(15_000),
        /** Time before the end of a lease from which it is no longer used; covers the transit time of commands. */
        marginMs: durationSchema.default(500),
        syncMs: durationSchema.default(900),
    }).default({ controlMs: 3000, taskMs: 15_000, marginMs: 500, syncMs: 900 })
        .refine(leases => leases.syncMs + leases.marginMs < leases.controlMs, {
            message: "syncMs + marginMs must be below controlMs, or the lease expires between two renewals",
        })
        .refine(leases => leases.controlMs * 2 < leases.taskMs, {
            message: "taskMs must be above twice controlMs, or task leases expire before a new owner takes over",
        }),
    heartbeat: z.strictObject({
        intervalMs: durationSchema.default(400),
        /** Time without a heartbeat after which a peer of the own zone counts as failed. */
        failAfterMs: durationSchema.default(1600),
    }).default({ intervalMs: 400, failAfterMs: 1600 })
        .refine(heartbeat => heartbeat.intervalMs * 2 < heartbeat.failAfterMs, {
            message: "failAfterMs must be above twice intervalMs",
        }),
    workers: z.strictObject({
        /** Connections to each worker; a worker accepts 64 from all instances together. */
        connections: z.number().int().min(2).max(60).default(24),
        timeoutMs: durationSchema.default(1000),
        maxAnswerBytes: z.number().int().min(1).default(1_048_576),
    }).default({ connections: 24, timeoutMs: 1000, maxAnswerBytes: 1_048_576 }),
    callers: z.strictObject({
        maxBodyBytes: z.number().int().min(1).max(1_048_576).default(65_536),
        defaultDeadlineMs: durationSchema.default(10_000),
        maxConnections: z.number().int().min(1).default(4096),
    }).default({ maxBodyBytes: 65_536, defaultDeadlineMs: 10_000, maxConnections: 4096 }),
    shutdown: z.strictObject({
        /** Time for which a leaving instance accepts new requests, because load balancers and membership lists lag. */
        noticeMs: durationSchema.default(3000),
        /** Maximum wait for requests in progress. */
        drainMs: durationSchema.default(30_000),
    }).default({ noticeMs: 3000, drainMs: 30_000 }),
    tls: tlsSchema.optional(),
    log: z.strictObject({ level: z.enum(["silent", "error", "warn", "info"]).default("info") }).default({
        level: "info",
    }),
    metrics: z.strictObject({ statsd: addressSchema.optional() }).default({}),
});
export type InstanceSettings = z.infer<typeof instanceSettingsSchema>;
