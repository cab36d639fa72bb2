/** Order, place and preemption: decisions without a network or a clock of their own. */
export { isMechanism, type Mechanism, MECHANISMS, NOTHING } from "./mechanism";
export { getProspect, Prospect, type Urgency } from "./order";
export { decidePace, type PaceInput } from "./pace";
export { plan } from "./plan";
export { leaveOut, POLICIES, type Policy, type PolicyName } from "./policy";
export { createPredictor, type Predictor } from "./prediction";
export { addRoom, copyRoom, countFits, getCoreEquivalents, isWithin, type MutableRoom, takeRoom } from "./room";
export {
    createSpeedTrack,
    getMoveTimes,
    getSlowdown,
    isSlow,
    type MoveInput,
    type MoveTimes,
    type SpeedTrack,
    takeSample,
} from "./speed";
export { paysToMove, REST_MS } from "./stopCost";
export {
    Claim,
    CLAIM_NAMES,
    Company,
    type PlaceableWorker,
    type Plan,
    type PlanInput,
    type PlannedStart,
    type PlannedStop,
    type Protection,
    type RunningGroup,
    type WaitingUnit,
} from "./types";
