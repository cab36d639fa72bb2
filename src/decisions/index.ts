/** Order, placement and preemption of tasks: pure decisions that use no network and read no clock. */
export {
    isMechanism,
    isOptionalMechanism,
    type Mechanism,
    MECHANISMS,
    NO_MECHANISMS,
    OPTIONAL_MECHANISMS,
    type OptionalMechanism,
} from "./mechanism";
export { getLatenessClass, getSlackMs, getUsageStep, LatenessClass, type Urgency } from "./order";
export { decidePace, type PaceInput } from "./pace";
export { plan } from "./plan";
export { disableMechanisms, POLICIES, type Policy, type PolicyName } from "./policy";
export { createPredictor, type Predictor } from "./prediction";
export {
    addResources,
    copyResources,
    countFits,
    fitsWithin,
    getCoreEquivalents,
    type MutableResources,
    subtractResources,
} from "./resources";
export {
    createSpeedHistory,
    getMoveTimes,
    getSlowdown,
    isWorkerSlow,
    type MoveInput,
    type MoveTimes,
    recordProgress,
    type SpeedHistory,
} from "./speed";
export { isMoveWorthwhile, PREEMPTION_BACKOFF_MS } from "./stopCost";
export {
    type DisruptionBudget,
    type ExpectedEnd,
    Occupancy,
    type PlaceableWorker,
    type Plan,
    type PlanInput,
    type PlannedStart,
    type PlannedStop,
    PreemptionTier,
    type Reservation,
    type ReservationInput,
    type RunningGroup,
    type SpeedChoice,
    TIER_NAMES,
    type WaitingUnit,
} from "./types";
