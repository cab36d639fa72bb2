/** Job rows in the table service: their schema, their keys and the store that reads and writes them. */
export * from "./jobRow";
export { createJobStore, type JobStore, type VersionedRow, type WriteResult } from "./jobStore";
