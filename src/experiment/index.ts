/** Loads played through the real scheduler, and what callers got of each. */
export { type BatchResult, type BatchTask, playBatch, type Variant } from "./batch";
export { getUpperBound } from "./bound";
export { compare, type Difference, getRankCorrelation } from "./compare";
export { addHazards, drawLoad, Size } from "./drawnLoad";
export { type Load } from "./load";
export { LOADS } from "./loads";
export { type Measure, MEASURES, type Measures } from "./measures";
export { play, type PlayOptions } from "./play";
export { type Played } from "./played";
export { renderReport } from "./report";
export { type Group, summarise, type Summary } from "./summary";
