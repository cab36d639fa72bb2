/** Waves of upkeep: machines are drained and taken down for maintenance, a bounded number at a time. */
export { runUpkeep } from "./upkeep";
