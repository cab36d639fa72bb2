/**
 * Which instance owns which rack and queue, by rendezvous hashing over the live instances. Instances may disagree for a
 * while; the workers' fencing tokens let only one owner act.
 */
import type * as configuration from "../configuration/index";
import * as rendezvous from "./rendezvous";

/** Owners of racks and queues. */
export interface Ownership {
    /** Id of the instance that should own the rack; `undefined` when the rack is unknown or no instance is live. */
    getRackOwner(rackId: string): string | undefined;
    /** Id of the instance that should own the zone's queue; `undefined` when no instance is live. */
    getQueueOwner(zone: string): string | undefined;
}

interface OwnershipOptions {
    readonly getTopology: () => configuration.Topology | undefined;
    /** Ids of the live instances of a zone. */
    readonly getOwners: (zone: string) => readonly string[];
}

/** Creates a view of the ownership, computed anew from topology and membership on each call. */
export function createOwnership(options: OwnershipOptions): Ownership {
    /**
     * The live instances of the zone, or of the next zone that has any. If a zone without instances had no owner, the
     * leases of its workers' tasks would expire one lease duration later although the workers are healthy.
     */
    const getCandidates = (zone: string): readonly string[] => {
        const zones = options.getTopology()?.zones ?? [];
        const start = zones.indexOf(zone);
        for (let offset = 0; offset < zones.length; offset++) {
            const owners = options.getOwners(zones[(start + offset) % zones.length]!);
            if (owners.length > 0) {
                return owners;
            }
        }
        return [];
    };
    return {
        getRackOwner: rackId => {
            const rack = options.getTopology()?.racks.find(item => item.id === rackId);
            return rack && rendezvous.pickByRendezvous(`rack/${rackId}`, getCandidates(rack.zone));
        },
        getQueueOwner: zone => rendezvous.pickByRendezvous(`queue/${zone}`, getCandidates(zone)),
    };
}
