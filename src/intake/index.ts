/** Callers' requests, as every instance takes them. */
export { type Caller, createIntake, type Intake, type IntakeOptions, type IntakeReply } from "./intake";
