/** The home of a request id: the one worker that remembers whether it ran. */
import * as crypto from "node:crypto";
import type * as configuration from "../configuration/index";
import * as ownership from "../ownership/index";

export interface Home {
    readonly workerId: string;
    readonly rackId: string;
    readonly zone: string;
}

export interface Homes {
    /** The same at every instance with the same topology. */
    getHome(requestId: string): Home | undefined;
    /** A new id whose home lies in the zone. */
    createRequestId(zone: string): string;
}

/** Separates the zone that an id names from the rest of it. */
const ZONE_SEPARATOR = "~";

/**
 * An id may name its zone (`surrey-b~…`); a zone that is cut off can then still serve its callers' ids, since their homes
 * lie inside. Other ids are spread over the zones by hashing.
 */
export function createHomes(getTopology: () => configuration.Topology | undefined): Homes {
    let indexed: { readonly topology: configuration.Topology; readonly byZone: Map<string, Home[]>; } | undefined;

    const getIndex = () => {
        const topology = getTopology();
        if (topology && indexed?.topology !== topology) {
            const byZone = new Map<string, Home[]>();
            for (const rack of topology.racks) {
                const homes = rack.workers.map(worker => ({ workerId: worker.id, rackId: rack.id, zone: rack.zone }));
                byZone.set(rack.zone, [...byZone.get(rack.zone) ?? [], ...homes]);
            }
            indexed = { topology, byZone };
        }
        return topology && indexed;
    };

    return {
        getHome: requestId => {
            const index = getIndex();
            if (!index) {
                return undefined;
            }
            const zones = [...index.byZone.keys()].sort();
            const named = requestId.split(ZONE_SEPARATOR, 1)[0]!;
            const hash = crypto.createHash("md5").update(requestId).digest("hex");
            const zone = index.byZone.has(named) ? named : ownership.pickByRendezvous(hash, zones)!;
            const homes = index.byZone.get(zone)!;
            const workerId = ownership.pickByRendezvous(hash, homes.map(home => home.workerId));
            return homes.find(home => home.workerId === workerId);
        },
        createRequestId: zone => `${zone}${ZONE_SEPARATOR}${crypto.randomUUID()}`,
    };
}
