/** Callers' requests that this instance cannot serve, passed on to one that can. */
export { createForwardedRequestRoute } from "./forwardedRequestRoute";
export type { CallerReply, CallerRequest, ForwardedReply, ForwardedRequest } from "./messages";
export { createPeerClient } from "./peerClient";
export { createRelay, type ForwardResult, type Relay, type RelayOptions } from "./relay";
