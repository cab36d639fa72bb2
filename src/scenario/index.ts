/** Scenarios: scripted runs of a zone's real queue on a manual clock, with fake racks and a fake store. */
export { readScenarioFile } from "./files";
export { type Expectation, type Failure, runScenario, type ScenarioResult } from "./runScenario";
export { type Scenario, scenarioSchema } from "./schema";
