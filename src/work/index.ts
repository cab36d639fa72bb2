/** Jobs, steps, occurrences and tasks: what is handed in, and how far it has come, as both are stored. */
export { findExcess } from "./limits";
export {
    decodeOccurrence,
    encodeOccurrence,
    type JobProgress,
    type JobState,
    type OccurrenceProgress,
    type TaskProgress,
} from "./progress";
export {
    EMPTY_ROOM,
    getCountedNeeds,
    getDueAt,
    getOccurrenceCount,
    type JobSpec,
    PLAIN_STEP,
    type Room,
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
