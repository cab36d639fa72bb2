/** Departures of workers: pure decisions and measured state, without network or clock. */
export { decide, type Decision, type DecisionKind, type LeavingUnit } from "./decide";
export { type EndBasis, type ExpectedEnd, getExpectedEnd, type RunProgress } from "./expectedEnd";
export { createLossMemory, type LossMemory, type WorkerLoss } from "./lossMemory";
export { createStayModel, type StayModel } from "./stays";
