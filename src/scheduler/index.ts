/** One instance of the scheduler, put together from its duties. */
export { createScheduler, type Scheduler, type SchedulerOptions, type SchedulerSettings } from "./scheduler";
