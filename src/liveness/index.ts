/** Detects by its connections that another instance's process has exited. */
export { type ProcessWatch, type ProcessWatchOptions, watchProcess } from "./processWatch";
export { createLivenessServer, type LivenessServer } from "./server";
