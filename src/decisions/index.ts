/** Order, place and preemption: decisions without a network or a clock of their own. */
export { compareUrgency, getProspect, getSlackMs, Prospect, type Urgency } from "./order";
export { plan } from "./plan";
export { createPredictor, type Predictor } from "./prediction";
export { addRoom, copyRoom, getCoreEquivalents, type MutableRoom, takeRoom } from "./room";
export type { PlaceableWorker, Plan, PlanInput, PlannedStart, PlannedStop, RunningGroup, WaitingUnit } from "./types";
