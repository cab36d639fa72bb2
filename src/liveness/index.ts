/** Whether another instance's process is gone for certain, told by its connections. */
export { type ProcessWatch, type ProcessWatchOptions, watchProcess } from "./processWatch";
export { createLivenessServer, type LivenessServer } from "./server";
