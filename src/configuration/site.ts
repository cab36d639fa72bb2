/** Consistency of a site beyond the shapes of its parts, and look-ups in it. */
import type * as schema from "./siteSchema";

/** One thing that is wrong: where, and what was expected. */
export interface SiteProblem {
    /** Dotted path of the key. */
    readonly path: string;
    readonly message: string;
}

export interface TopologyWorker {
    readonly id: string;
    readonly address: string;
    readonly rackId: string;
    readonly zone: string;
    readonly capacity: schema.Capacity;
}

export function getWorkers(topology: schema.Topology): TopologyWorker[] {
    return topology.racks.flatMap(rack =>
        rack.workers.map(worker => ({
            id: worker.id,
            address: worker.address,
            rackId: rack.id,
            zone: rack.zone,
            capacity: rack.capacity ?? topology.capacity,
        }))
    );
}

export function getPreset(contracts: schema.Contracts, name: string): schema.Preset | undefined {
    return contracts.presets.find(preset => preset.name === name);
}

/** All problems found; empty for a consistent site. Whether a preset fits is the guarantee plan's matter. */
export function checkSite(contracts: schema.Contracts, topology: schema.Topology, preset: string): SiteProblem[] {
    return [
        ...findDuplicates(contracts.accounts.map(account => account.name), "accounts", "account name"),
        ...findDuplicates(contracts.presets.map(item => item.name), "presets", "preset name"),
        ...findDuplicates(contracts.operators.map(item => item.name), "operators", "operator name"),
        ...findDuplicates(topology.racks.map(rack => rack.id), "topology.racks", "rack id"),
        ...findDuplicates(getWorkers(topology).map(worker => worker.id), "topology.racks", "worker id"),
        ...findDuplicates(getWorkers(topology).map(worker => worker.address), "topology.racks", "worker address"),
        ...findSharedKeys(contracts),
        ...findUnknownZones(topology),
        ...contracts.presets.flatMap((item, index) => checkPreset(contracts, topology, item, `presets.${index}`)),
        ...checkReserve(contracts, topology),
        ...(getPreset(contracts, preset) ? [] : [{ path: "preset", message: `there is no preset "${preset}"` }]),
    ];
}

function findDuplicates(names: readonly string[], path: string, what: string): SiteProblem[] {
    const repeated = names.filter((name, index) => names.indexOf(name) !== index);
    return [...new Set(repeated)].map(name => ({ path, message: `${what} "${name}" occurs twice` }));
}

/** A key of two accounts would let one act as the other. */
function findSharedKeys(contracts: schema.Contracts): SiteProblem[] {
    const digests = [...contracts.accounts, ...contracts.operators].flatMap(holder =>
        holder.keys.map(key => key.sha256)
    );
    const shared = digests.some((digest, index) => digests.indexOf(digest) !== index);
    return shared ? [{ path: "accounts", message: "two holders share one key" }] : [];
}

function findUnknownZones(topology: schema.Topology): SiteProblem[] {
    return topology.racks.flatMap((rack, index) =>
        topology.zones.includes(rack.zone)
            ? []
            : [{ path: `topology.racks.${index}.zone`, message: `zone "${rack.zone}" is not listed in topology.zones` }]
    );
}

function checkPreset(
    contracts: schema.Contracts,
    topology: schema.Topology,
    preset: schema.Preset,
    path: string,
): SiteProblem[] {
    const problems: SiteProblem[] = [];
    const workerIds = new Set(getWorkers(topology).map(worker => worker.id));
    for (const [index, guarantee] of preset.guarantees.entries()) {
        const at = `${path}.guarantees.${index}`;
        if (!contracts.accounts.some(account => account.name === guarantee.account)) {
            problems.push({ path: `${at}.account`, message: `there is no account "${guarantee.account}"` });
        }
        for (const zone of guarantee.zones.filter(zone => !topology.zones.includes(zone))) {
            problems.push({ path: `${at}.zones`, message: `zone "${zone}" is not listed in topology.zones` });
        }
    }
    for (const id of preset.drainedWorkers.filter(id => !workerIds.has(id))) {
        problems.push({ path: `${path}.drainedWorkers`, message: `there is no worker "${id}"` });
    }
    return problems;
}

function checkReserve(contracts: schema.Contracts, topology: schema.Topology): SiteProblem[] {
    const { interactiveReserve: reserve } = contracts.limits;
    const { capacity } = topology;
    const fits = reserve.slots < capacity.slots && reserve.cpus < capacity.cpus && reserve.memoryMb < capacity.memoryMb;
    return fits ? [] : [{ path: "limits.interactiveReserve", message: "must be smaller than topology.capacity" }];
}
