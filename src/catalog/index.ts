/** What the operator has configured, and which version of it is in force here. */
export type { Account, AdviceTimings, Catalog, Queue, RequestLimits, Service } from "./catalog";
export { createCurrentCatalog, type CurrentCatalog } from "./currentCatalog";
export { createFreshness, type Freshness, type FreshnessOptions } from "./freshness";
