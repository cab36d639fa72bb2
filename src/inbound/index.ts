/** Inbound connections: one budget for what clients make this process hold, on all of its servers. */
export { type ConnectionBudget, createConnectionBudget } from "./connectionBudget";
export { type Exchange } from "./httpConnection";
export { createInbound, type Inbound, type InboundOptions } from "./inbound";
export {
    checkOverrides,
    deriveInboundLimits,
    type InboundLimits,
    type InboundOverrides,
    type MachineLimits,
    ServerName,
} from "./limits";
export { type BodyResult } from "./readBody";
