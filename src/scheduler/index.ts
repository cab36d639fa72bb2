/** One instance of the scheduler: leader election, intake of requests, and the term while it leads. */
export { createScheduler, type Scheduler, type SchedulerOptions, type SchedulerSettings } from "./scheduler";
