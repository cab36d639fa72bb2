/** Sessions with workers: their registry, polls, leases and orders, and the reconciliation of what they report. */
export { createInitialPollLimiter } from "./initialPollLimiter";
export { createOrders, type Orders } from "./orders";
export { createReachabilityCheck, type ReachabilityCheck } from "./reachabilityCheck";
export { reconcile } from "./reconcile";
export type { PlacedTask } from "./startQueue";
export { createUnansweredStarts, type UnansweredStarts } from "./unansweredStarts";
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
export { createWorkerRegistry } from "./workerRegistry";
export { createWorkerSession, type PollResult } from "./workerSession";
