/** Leader election, the leader's state of jobs and workers, and the orders that it sends to workers. */
export type { AdviceResult, Adviser, ListedWorker, WorkerDirectory } from "./directory";
export type { WorkerInfo } from "./entries";
export { type Candidacy, createHandover, type Handover, type HandoverOffer, type HandoverPort } from "./handover";
export { createHandoverPort, createHandoverRoutes } from "./handoverCalls";
export type { Leadership } from "./heldLease";
export { type ProcessWatch } from "./holderMonitor";
export { getIncarnationId } from "./incarnation";
export { createLease, type Lease, type LeaseObservation } from "./lease";
export { type LeaseRecord } from "./leaseRecord";
export type { Machine, MachineService, MachinesResult, UpkeepAnswer, UpkeepOrder, Wave, WavePort } from "./machines";
export { createTerm, type Term, type TermOptions } from "./term";
export type {
    EndKind,
    OrderAnswer,
    PaceOrder,
    PollAnswer,
    PollOrder,
    RefusalReason,
    RunningTask,
    RunOrder,
    StartOrder,
    TaskEnd,
    WorkerAddress,
    WorkerPort,
} from "./workerPort";
