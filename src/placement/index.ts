/** Placement: the guarantee plan, the allocation of the workers of a zone, and the search for places for jobs. */
export { findConsolidation, type Move } from "./consolidate";
export { type Eviction, findPreemption, findReclaim } from "./evict";
export * from "./fleet";
export { getFragmentation } from "./fragmentation";
export * from "./needs";
export { canEverFit, findPlace, isAllowed } from "./place";
export { type Block, createPlan, describeUnplaced, type HomePart, type Plan } from "./plan";
export { staysReclaimable, type WorkerAllocation } from "./reclaim";
export * from "./request";
export { clearReservation, findReservation, type ReservedPlace, setReservation } from "./reservation";
