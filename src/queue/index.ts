/**
 * Zone queues: the scheduler that decides placements and evictions, and the runtime of the instance that owns a queue.
 */
export { type AttemptEnd } from "./attempt";
export { PREEMPT_FOR_LARGE_AFTER_MS } from "./largeJobs";
export { createPredictor, type Predictor } from "./predictor";
export type { QueuedJob } from "./queuedJob";
export {
    createScheduler,
    type Decision,
    getTaskId,
    type RunningJob,
    type Scheduler,
    type SchedulerConfig,
} from "./scheduler";
export { createZoneQueue, type ZoneQueue, type ZoneQueueOptions } from "./zoneQueue";
export { getShapes, type ZoneStatus } from "./zoneViews";
