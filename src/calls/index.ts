/** HTTP calls of the processes on the users' platform, with one timeout each and outcomes that say what is certain. */
export { type CallRoute, type CallServer, createCallServer } from "./callServer";
export { createHttpClient, type HttpCall, type HttpClient, type HttpOutcome } from "./httpClient";
export { listen } from "./listen";
