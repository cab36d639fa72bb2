/** Forwards caller requests that this instance cannot serve to an instance that can. */
export { createForwardedRequestRoute } from "./forwardedRequestRoute";
export type { CallerReply, CallerRequest, ForwardedReply, ForwardedRequest } from "./messages";
export { createPeerClient } from "./peerClient";
export { createRelay, type ForwardResult, type Relay, type RelayOptions } from "./relay";
export { createUndecidedSubmissions } from "./undecidedSubmissions";
