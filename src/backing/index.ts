/** Interfaces to the platform's table service, object store and membership list, and their HTTP client. */
export { createGuardedTable, type GuardedTable, type GuardedTableOptions, Priority } from "./guardedTable";
export { createHttpPlatform, type HttpPlatformOptions } from "./httpPlatform";
export type { InstanceEntry, InstanceState, MembershipList, MembershipSnapshot, WorkerEntry } from "./membershipList";
export { type ObjectStore } from "./objectStore";
export type { Platform } from "./platform";
export { createRetryPolicy, type RetryPolicy } from "./retryPolicy";
export {
    isCommitted,
    type ReadResult,
    type TableRow,
    type TableService,
    type TableWrite,
    type TransactResult,
} from "./tableService";
