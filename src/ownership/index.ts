/** Which instance owns which rack and queue, and the items that this instance owns. */
export { createHoldings, type Holdings } from "./holdings";
export { createOwnership, type Ownership } from "./ownership";
export { getWeight, pickByRendezvous, rankByRendezvous } from "./rendezvous";
