/** Fair shares of accounts: how much of a service each account has used of late, compared with its weight. */
export { getDominantShare, getUsage, getWeight, type WeightInput } from "./shares";
export { createUsageLedger, type ServiceSample, type UsageLedger } from "./usageLedger";
