/** Leader election, the leader's state of jobs and workers, and the orders that it sends to workers. */
export type { AdviceResult, Adviser, ListedWorker, WorkerDirectory } from "./directory";
export type { WorkerInfo } from "./entries";
export { getIncarnationId, isWorkerName } from "./incarnation";
export {
    type Candidacy,
    createHandover,
    createHandoverPort,
    createHandoverRoutes,
    createLease,
    type Handover,
    type HandoverOffer,
    type HandoverPort,
    type Leadership,
    type Lease,
    type LeaseObservation,
    type LeaseRecord,
    type ProcessWatch,
} from "./lease/index";
export type { Machine, MachineService, MachinesResult, UpkeepAnswer, UpkeepOrder, Wave, WavePort } from "./machines";
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
} from "./sessions/index";
export { createTerm, type Term, type TermOptions } from "./term";
