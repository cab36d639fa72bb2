/** Scenarios: scripted runs of a zone's real queue on a manual clock, over small fakes at the interfaces. */
export { readScenarioFile } from "./files";
export { type Expectation, type Failure, runScenario, type ScenarioResult } from "./runScenario";
export { type Scenario, scenarioSchema } from "./schema";
