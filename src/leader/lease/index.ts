/** The leader's lease: who leads, for how long, and how the term is handed over. */
export { type Candidacy, createHandover, type Handover, type HandoverOffer, type HandoverPort } from "./handover";
export { createHandoverPort, createHandoverRoutes } from "./handoverCalls";
export { createHeldLease, EXTENSION_GRACE_MS, type Leadership } from "./heldLease";
export { type ProcessWatch } from "./holderMonitor";
export { createLease, type Lease, type LeaseObservation } from "./lease";
export { type LeaseRecord } from "./leaseRecord";
