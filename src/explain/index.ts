/** Explains what became of a request, from log lines alone. */
export { renderStory } from "./render";
export { type LogLine, parseLine, type Story, tellStory, type Verdict } from "./story";
