/** Callers' requests that this instance cannot serve, passed on to one that can. */
export type { CallersReply, CallersRequest, PassedReply, PassedRequest } from "./messages";
export { createPeerClient } from "./peerClient";
export { createPeerServer, type PeerServer } from "./peerServer";
export { createRelay, type PeerAnswer, type Relay, type RelayOptions } from "./relay";
