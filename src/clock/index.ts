/** Clocks: the interface that all modules use, and its implementations. Times are in milliseconds. */
export { type CancelTimer, type Clock, createSleep } from "./clock";
export { createManualClock, type ManualClock } from "./manualClock";
export { createSystemClock } from "./systemClock";
export { addMs, getElapsedMs, getTimestamp, type Timestamp } from "./timestamp";
