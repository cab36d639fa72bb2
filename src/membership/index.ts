/** Which instances and workers are live: the platform's lagging list, corrected by heartbeats. */
export { createMembershipView, type MembershipView, type Peer } from "./membershipView";
