/** A stand-in for the platform: table service, object store and a membership list with a propagation delay. */
export { createEmbeddedPlatform, type EmbeddedPlatform, type EmbeddedPlatformOptions } from "./embeddedPlatform";
export { type PlatformFaults, platformFaultsSchema, type WorkerFaults, workerFaultsSchema } from "./faults";
export { startPlatformServer } from "./server";
export { createTableStore, type TableStore } from "./tableStore";
