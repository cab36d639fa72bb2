/** Jobs: their rows in the table service, their outcomes, and the run of one attempt. */
export * from "./jobRow";
export { createJobStore, type JobStore, type VersionedRow, type WriteResult } from "./jobStore";
