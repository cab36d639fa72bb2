/** Whether another instance's process is gone for certain, told by its connections. */
export { createLivenessServer, type LivenessServer } from "./server";
export { type Watch, type WatchOptions, watchProcess } from "./watch";
