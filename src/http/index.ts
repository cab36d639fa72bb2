/** Helpers for HTTP clients. */
export { readBounded, wasNeverSent } from "./clientErrors";
