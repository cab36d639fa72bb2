/** Which instances and workers are live, from the platform's delayed membership list and the peers' heartbeats. */
export { createMembershipView, type MembershipView, type Peer } from "./membershipView";
