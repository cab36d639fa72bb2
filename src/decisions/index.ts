/** Order, place and preemption: decisions without a network or a clock of their own. */
export { compareUrgency, getProspect, getSlackMs, Prospect, type Urgency } from "./order";
export { decidePace, type PaceInput } from "./pace";
export { plan } from "./plan";
export { createPredictor, type Predictor } from "./prediction";
export { addRoom, copyRoom, countFits, getCoreEquivalents, type MutableRoom, takeRoom } from "./room";
export {
    createSpeedTrack,
    getSlowdown,
    isSlow,
    type MoveInput,
    shouldMove,
    type SpeedTrack,
    takeSample,
} from "./speed";
export { getStopCost, REST_MS, type StopCostInput } from "./stopCost";
export {
    Claim,
    type PlaceableWorker,
    type Plan,
    type PlanInput,
    type PlannedStart,
    type PlannedStop,
    type Protection,
    type RunningGroup,
    type WaitingUnit,
} from "./types";
