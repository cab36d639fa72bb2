/** In-memory store and workers with fault injection, for tests of the whole scheduler and experiments on a manual clock. */
export { type ChaosReport, runChaos } from "./chaos";
export { withRandomCrashes } from "./hazards";
export { createTaskModel, type EmulatedJob } from "./jobModel";
export {
    createEmulatedMachines,
    type EmulatedMachines,
    type EmulatedMachinesOptions,
    type MachineFault,
} from "./machines";
export { createRandomJob, getExpectedStates, mayFailByCrashes } from "./randomJob";
export { createSite, getFirstWorkerId, getInstanceName, type Site, type SiteOptions } from "./site";
export { type StartRecord } from "./startChecks";
export { createEmulatedStore, type EmulatedStore, type StoreFault, type StoreFaults } from "./store";
export { createUnusualJob } from "./unusualJob";
export { type TaskModel } from "./workerIncarnation";
export type { OrderFault, WorkerFaults } from "./workerOrders";
export { createEmulatedWorkers, type EmulatedWorkers, listViolations } from "./workers";
