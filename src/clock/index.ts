/** Time in milliseconds: the one clock type that every duty takes. */
export { type CancelTimer, type Clock, createSleep } from "./clock";
export { createManualClock, type ManualClock } from "./manualClock";
export { addMs, getElapsedMs, type Moment, readMoment } from "./moment";
export { createSystemClock } from "./systemClock";
