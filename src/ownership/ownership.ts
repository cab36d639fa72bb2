/** Who owns which rack and queue, by rendezvous hashing over the live instances. A hint: see the workers' tokens. */
import type * as configuration from "../configuration/index";
import * as rendezvous from "./rendezvous";

export interface Ownership {
    /** Id of the instance that should own the rack; `undefined` when no instance is live. */
    getRackOwner(rackId: string): string | undefined;
    getQueueOwner(zone: string): string | undefined;
}

interface OwnershipOptions {
    readonly getTopology: () => configuration.Topology | undefined;
    readonly getOwners: (zone: string) => readonly string[];
}

export function createOwnership(options: OwnershipOptions): Ownership {
    /**
     * A zone whose instances are all gone is adopted by the nearest zone that has some; without that, its workers' tasks
     * would lapse one lease later although the workers are well.
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
