/** Callers' requests that this instance cannot serve, passed on to one that can. */
export type { CallersReply, CallersRequest, PassedReply, PassedRequest } from "./messages";
export { createPeerClient } from "./peerClient";
export { createRelay, type PeerAnswer, type Relay, type RelayOptions } from "./relay";
export { createRequestRoute } from "./requestRoute";
