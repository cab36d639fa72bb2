/** What a leader has measured and its successor continues with: speeds, shares, stays. */
export { createLearnedState, type LearnedSection, type LearnedState } from "./learnedState";
