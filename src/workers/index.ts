/** Workers: their interface, its HTTP client, control leases, health, and the owner of a rack. */
export { type AnswerCheck, checkAnswer, getBodyDigest } from "./answerCheck";
export { createWorkerHealth, type WorkerHealth } from "./health";
export { createHttpWorker, type HttpWorkerOptions } from "./httpWorker";
export { createInteractiveRunner, type InteractiveRunner } from "./interactiveRunner";
export { getOnceTaskId } from "./onceRunner";
export { createRackOwner, getResultKey, parseTaskId, type RackOwner, type RackOwnerOptions } from "./rackOwner";
export { formatTaskNote, parseTaskNote, type TaskNote } from "./taskNote";
export * from "./workerPort";
export type { LeaseTimes } from "./workerSession";
