/** The home of a request id: the one worker that records whether the request ran. */
import * as crypto from "node:crypto";
import type * as configuration from "../configuration/index";
import * as ownership from "../ownership/index";

/** The home worker of a request id, with its rack and zone. */
export interface Home {
    readonly workerId: string;
    readonly rackId: string;
    readonly zone: string;
}

/** Maps request ids to their homes. */
export interface Homes {
    /** Home of the id, equal on all instances with the same topology; `undefined` while no topology is known. */
    getHome(requestId: string): Home | undefined;
    /** Creates a unique id whose home is in the zone. */
    createRequestId(zone: string): string;
}

/** Separates the zone prefix of a request id from the rest. */
const ZONE_SEPARATOR = "~";

/**
 * Creates the mapping of request ids to homes. An id may start with a zone (`surrey-b~…`). Its home is then in that
 * zone, which can serve it even while it is partitioned from the others. Other ids are hashed to a zone.
 */
export function createHomes(getTopology: () => configuration.Topology | undefined): Homes {
    let indexed: { readonly topology: configuration.Topology; readonly byZone: Map<string, Home[]>; } | undefined;

    const getHomeIndex = () => {
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
            const index = getHomeIndex();
            if (!index) {
                return undefined;
            }
            const zones = [...index.byZone.keys()].sort();
            const zonePrefix = requestId.split(ZONE_SEPARATOR, 1)[0]!;
            const hash = crypto.createHash("md5").update(requestId).digest("hex");
            const zone = index.byZone.has(zonePrefix) ? zonePrefix : ownership.pickByRendezvous(hash, zones)!;
            const homes = index.byZone.get(zone)!;
            const workerId = ownership.pickByRendezvous(hash, homes.map(home => home.workerId));
            return homes.find(home => home.workerId === workerId);
        },
        createRequestId: zone => `${zone}${ZONE_SEPARATOR}${crypto.randomUUID()}`,
    };
}
