/** An embedded site, its load, and the count of violations. */
export { type DemoOptions, type DemoSummary, getSiteFile, hasNoViolations, runDemo } from "./demo";
export { type DeploymentName, getDemoStreams } from "./demoLoad";
export * from "./embeddedSite";
export * from "./smallSite";
export { countViolations, type ViolationCounts } from "./violations";
