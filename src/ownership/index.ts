/** Which instance owns which rack and queue, and the items that this instance owns. */
export { createOwnedItems, type OwnedItems } from "./ownedItems";
export { createOwnership, type Ownership } from "./ownership";
export { getWeight, pickByRendezvous, rankByRendezvous } from "./rendezvous";
