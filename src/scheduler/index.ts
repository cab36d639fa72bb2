/** One instance of the scheduler, put together from its duties. */
export { createScheduler, type Scheduler, type SchedulerBounds, type SchedulerOptions } from "./scheduler";
