/** Queues: the scheduler's decisions, and the owner of a zone's queue. */
export { type AttemptEnd } from "./attempt";
export { LARGE_PATIENCE_MS } from "./largeJobs";
export { createPredictor, type Predictor } from "./predictor";
export type { QueuedJob } from "./queuedJob";
export {
    createScheduler,
    type Decision,
    getTaskId,
    type RunningJob,
    type Scheduler,
    type SchedulerTerms,
} from "./scheduler";
export { createZoneQueue, type ZoneQueue, type ZoneQueueOptions } from "./zoneQueue";
export { getShapes, type ZoneStatus } from "./zoneViews";
