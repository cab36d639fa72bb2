/** Jobs, steps, occurrences and tasks: their specification and their progress, both as stored. */
export { createStepGraph, getLongestChains, type StepGraph } from "./dependencies";
export { type ExceededLimit, findExceededLimit, type JobLimit } from "./limits";
export {
    decodeOccurrence,
    encodeOccurrence,
    type JobProgress,
    type JobState,
    type OccurrenceProgress,
    type TaskProgress,
} from "./progress";
export {
    countTasks,
    DEFAULT_STEP,
    getDueAt,
    getOccurrenceCount,
    getReservedResources,
    type JobSpec,
    NO_RESOURCES,
    type Resources,
    type StepSpec,
    type Submission,
} from "./spec";
export {
    getCancelKey,
    getCancelledJobId,
    getIntakePart,
    getOccurrenceKey,
    getTaskName,
    INTAKE_PARTS,
    LEADER_PART,
    parseOccurrenceKey,
    Table,
} from "./tables";
