/**
 * A stand-in for a worker: leases with fencing tokens, tasks, tombstones, faults, and a journal of the tasks that ran.
 */
export { announceWorker } from "./announce";
export { createJournal, type Journal, type JournalEntry } from "./journal";
export { createAnswerBody, type Payload, payloadSchema, readPayload } from "./payload";
export { createFaultSwitch, startWorkerServer, type WorkerFaultSwitch } from "./server";
export { createWorkerCore, type WorkerCore, type WorkerCoreOptions } from "./workerCore";
