/** A stand-in for the platform: table service, object store and lagging membership list. */
export { createEmbeddedPlatform, type EmbeddedPlatform, type EmbeddedPlatformOptions } from "./embeddedPlatform";
export { type PlatformFaults, platformFaultsSchema, type WorkerFaults, workerFaultsSchema } from "./faults";
export { startPlatformServer } from "./server";
export { createTableStore, type TableStore } from "./tableStore";
