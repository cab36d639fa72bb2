/** Placement: the guarantee plan, the books of the workers, and where a job may run. */
export { findConsolidation, type Move } from "./consolidate";
export { type Eviction, findPreemption, findReclaim } from "./evict";
export * from "./fleet";
export { getFragmentation } from "./fragmentation";
export * from "./needs";
export { canEverFit, findPlace, isAllowed } from "./place";
export { type Block, createPlan, describeUnplaced, type HomePart, type Plan } from "./plan";
export { type ReclaimBooks, staysReclaimable } from "./reclaim";
export * from "./request";
export { clearReservation, findReservation, type ReservedPlace, setReservation } from "./reservation";
