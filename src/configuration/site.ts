/** Consistency checks across the parts of a site, which the schemas cannot express, and look-ups in a site. */
import type * as revision from "./revision";
import type * as schema from "./siteSchema";

/** An inconsistency of a site. */
export interface SiteProblem {
    /** Dotted path of the key. */
    readonly path: string;
    readonly message: string;
}

/** A worker with its place and its capacity. */
export interface TopologyWorker {
    readonly id: string;
    readonly address: string;
    readonly rackId: string;
    readonly zone: string;
    readonly capacity: schema.Capacity;
}

/** All workers of the topology, in the order of its racks. */
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

/** The preset of the name; `undefined` when there is none. */
export function getPreset(contracts: schema.Contracts, name: string): schema.Preset | undefined {
    return contracts.presets.find(preset => preset.name === name);
}

/** The preset in force, with the workers of evacuated zones among the drained ones; `undefined` when it is unknown. */
export function getPresetInForce(
    { contracts, topology, head }: Pick<revision.Configuration, "contracts" | "topology" | "head">,
): schema.Preset | undefined {
    const preset = getPreset(contracts, head.preset);
    if (!preset || contracts.evacuatedZones.length === 0) {
        return preset;
    }
    const evacuated = getWorkers(topology).filter(worker => contracts.evacuatedZones.includes(worker.zone));
    return { ...preset, drainedWorkers: [...preset.drainedWorkers, ...evacuated.map(worker => worker.id)] };
}

/** Returns all problems; empty for a consistent site. Whether the guarantees fit is checked by the placement plan. */
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
        ...findUnknownEvacuatedZones(contracts, topology),
        ...checkReserve(contracts, topology),
        ...(getPreset(contracts, preset) ? [] : [{ path: "preset", message: `there is no preset "${preset}"` }]),
    ];
}

function findDuplicates(names: readonly string[], path: string, label: string): SiteProblem[] {
    const repeated = names.filter((name, index) => names.indexOf(name) !== index);
    return [...new Set(repeated)].map(name => ({ path, message: `${label} "${name}" occurs twice` }));
}

/** Reports a key that occurs twice: with it, one account or operator could act as the other. */
function findSharedKeys(contracts: schema.Contracts): SiteProblem[] {
    const digests = [...contracts.accounts, ...contracts.operators].flatMap(holder =>
        holder.keys.map(key => key.sha256)
    );
    const shared = digests.some((digest, index) => digests.indexOf(digest) !== index);
    return shared
        ? [{ path: "accounts", message: "two holders share one key" }]
        : [];
}

function findUnknownZones(topology: schema.Topology): SiteProblem[] {
    return topology.racks.flatMap((rack, index) =>
        topology.zones.includes(rack.zone)
            ? []
            : [{ path: `topology.racks.${index}.zone`, message: `zone "${rack.zone}" is not listed in topology.zones` }]
    );
}

function findUnknownEvacuatedZones(contracts: schema.Contracts, topology: schema.Topology): SiteProblem[] {
    return contracts.evacuatedZones.filter(zone => !topology.zones.includes(zone)).map(zone => ({
        path: "evacuatedZones",
        message: `zone "${zone}" is not listed in topology.zones`,
    }));
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
        const guaranteePath = `${path}.guarantees.${index}`;
        if (!contracts.accounts.some(account => account.name === guarantee.account)) {
            problems.push({ path: `${guaranteePath}.account`, message: `there is no account "${guarantee.account}"` });
        }
        for (const zone of guarantee.zones.filter(zone => !topology.zones.includes(zone))) {
            problems.push({
                path: `${guaranteePath}.zones`,
                message: `zone "${zone}" is not listed in topology.zones`,
            });
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
    return fits
        ? []
        : [{
            path: "limits.interactiveReserve",
            message: "must be smaller than topology.capacity",
        }];
}
