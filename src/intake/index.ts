/** Intake of caller requests; every instance accepts them. */
export { type Caller, createIntake, type Intake, type IntakeOptions, type IntakeReply } from "./intake";
