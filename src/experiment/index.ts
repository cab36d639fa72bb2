/** Loads played through the real scheduler, and what callers got of each. */
export { getUpperBound } from "./bound";
export { type Load } from "./load";
export { LOADS } from "./loads";
export { play, type Played, type PlayOptions } from "./play";
export { renderReport } from "./report";
export { type Group, summarise, type Summary } from "./summary";
