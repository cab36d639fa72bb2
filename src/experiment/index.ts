/** Simulates loads with the real scheduler, and measures how well callers were served. */
export { type BatchResult, type BatchTask, simulateBatch, type Variant } from "./batch";
export { compare, type Difference, getRankCorrelation } from "./compare";
export { type Load } from "./load";
export { type Measure, MEASURES, type Measures } from "./measures";
export { LOADS } from "./namedLoads";
export { addContention, addHazards, createRandomLoad, Size } from "./randomLoad";
export { renderReport } from "./report";
export { simulate, type SimulationOptions } from "./simulation";
export { type SimulationResult } from "./simulationResult";
export { type Group, summarise, type Summary } from "./summary";
export { getUpperBound } from "./upperBound";
