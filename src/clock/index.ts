/** Time in milliseconds: the one clock type that every duty takes. */
export { type CancelTimer, type Clock, createSleep } from "./clock";
export { createManualClock, type ManualClock } from "./manualClock";
export { createSystemClock } from "./systemClock";
export { addMs, getElapsedMs, getTimestamp, type Timestamp } from "./timestamp";
