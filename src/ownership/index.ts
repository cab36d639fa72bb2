/** Ownership of racks and queues. */
export { createHoldings, type Holdings } from "./holdings";
export { createOwnership, type Ownership } from "./ownership";
export { getWeight, pickByRendezvous, rankByRendezvous } from "./rendezvous";
