/** Entry of callers' requests: the HTTP API, admission, and routing to the owners of racks and queues. */
export { type CallersApi, type CallersApiOptions, createCallersApi, type JobView } from "./callersApi";
export { type Activity, createActivity, createCallersHttp } from "./callersHttp";
export { createHomes, type Homes } from "./homes";
export { createInteractiveRouter, type InteractiveOutcome, type InteractiveRouter } from "./interactiveRouter";
export { createJobAdmission, type JobAdmission } from "./jobAdmission";
export { createKeyrings, type Keyrings } from "./keyrings";
export { createRateLimit, type RateLimit } from "./rateLimit";
export { createRowClaims } from "./rowClaims";
export { type Submission, submissionSchema } from "./submission";
