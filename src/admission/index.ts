/** Admission under load: the leader's summary of expected waits, and the decision of each instance by it. */
export {
    type AcceptReason,
    type AdmissionInput,
    decide,
    type Decision,
    type DecisionInputs,
    type LoadView,
} from "./decide";
export { createLoadMeter, type LoadMeter, type QueueObservation, type WorkAhead } from "./loadMeter";
export {
    decodeSummary,
    type EncodedSummary,
    encodeSummary,
    getLongestWaitMs,
    type LoadSummary,
    MAX_SUMMARY_BYTES,
    type QueueLoad,
} from "./loadSummary";
export { createLoadView, type ObservedRow } from "./loadView";
export { createRefusalMemory, type RefusalMemory } from "./refusalMemory";
export { getLoadRetryAfterMs, getOutageRetryAfterMs } from "./retryAfter";
