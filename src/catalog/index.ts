/** The operator's configuration, and the version of it that is in force in this instance. */
export type { Account, AdviceTimings, Catalog, Queue, RequestLimits, Service } from "./catalog";
export { createCurrentCatalog, type CurrentCatalog } from "./currentCatalog";
export { createFreshness, type Freshness, type FreshnessOptions } from "./freshness";
