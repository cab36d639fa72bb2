/** HTTP calls between processes on the users' platform, with timeouts and typed outcomes. */
export { type CallRoute, type CallServer, createCallServer } from "./callServer";
export { createHttpClient, type HttpCall, type HttpClient, type HttpOutcome } from "./httpClient";
