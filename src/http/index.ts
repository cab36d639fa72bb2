/** Small helpers around HTTP clients. */
export { readBounded, wasNeverSent } from "./clientErrors";
