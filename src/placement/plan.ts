/**
 * The guarantee plan: assigns to each block that a preset guarantees its home: accelerators of specific workers.
 *
 * The plan is a pure function of the preset, the topology and the set of unavailable workers, so that all instances
 * compute the same one. Ties are broken by rendezvous hashing of block and worker, so that the loss of a worker moves
 * the homes on it and few others.
 */
import type * as configuration from "../configuration/index";
import * as ownership from "../ownership/rendezvous";

/** A guaranteed number of accelerators that must be available together. */
export interface Block {
    /** `account/guarantee index/block number`; stable while the guarantee keeps its position in the preset. */
    readonly id: string;
    readonly account: string;
    readonly accelerators: number;
    readonly adjacency: configuration.Adjacency;
    readonly zones: readonly string[];
}

/** The part of a block's home that lies on one worker. */
export interface HomePart {
    readonly blockId: string;
    readonly account: string;
    readonly workerId: string;
    readonly accelerators: number;
}

/** Where each guaranteed block has its home. */
export interface Plan {
    readonly parts: readonly HomePart[];
    /** Blocks for which no home was found. */
    readonly unplaced: readonly Block[];
}

interface Bin {
    readonly workerId: string;
    readonly rackIndex: number;
    readonly zone: string;
    readonly size: number;
    free: number;
}

/** Computes the plan. `unavailable` holds the workers that are lost or quarantined; spares take over their homes. */
export function createPlan(
    preset: configuration.Preset,
    topology: configuration.Topology,
    unavailable: ReadonlySet<string>,
): Plan {
    const bins = createBins(preset, topology, unavailable);
    const parts: HomePart[] = [];
    const unplaced: Block[] = [];
    for (const block of getBlocks(preset)) {
        const found = findHome(block, bins);
        if (!found) {
            unplaced.push(block);
            continue;
        }
        for (const { bin, accelerators } of found) {
            bin.free -= accelerators;
            parts.push({ blockId: block.id, account: block.account, workerId: bin.workerId, accelerators });
        }
    }
    return { parts, unplaced };
}

/** Describes an unplaced block for operators, on one line. */
export function describeUnplaced(preset: configuration.Preset, block: Block): string {
    const where = block.zones.length > 0 ? ` in ${block.zones.join(", ")}` : "";
    const spares = preset.spareWorkersPerZone > 0 ? ` beside ${preset.spareWorkersPerZone} spare worker(s) a zone` : "";
    return `preset "${preset.name}" cannot fit: account "${block.account}" has no place${where} for a block of `
        + `${block.accelerators} accelerators (adjacency ${block.adjacency})${spares}`;
}

/** All blocks of the preset, the largest first: small ones fit into the remaining space, large ones might not. */
function getBlocks(preset: configuration.Preset): Block[] {
    const blocks = preset.guarantees.flatMap((guarantee, index) =>
        Array.from({ length: guarantee.blocks }, (_, number): Block => ({
            id: `${guarantee.account}/${index}/${number}`,
            account: guarantee.account,
            accelerators: guarantee.acceleratorsPerBlock,
            adjacency: guarantee.adjacency,
            zones: guarantee.zones,
        }))
    );
    return blocks.sort((a, b) =>
        b.accelerators - a.accelerators
        || Number(b.zones.length > 0) - Number(a.zones.length > 0)
        || (a.id < b.id ? -1 : 1)
    );
}

function createBins(
    preset: configuration.Preset,
    topology: configuration.Topology,
    unavailable: ReadonlySet<string>,
): Bin[] {
    const drained = new Set(preset.drainedWorkers);
    const bins: Bin[] = [];
    for (const zone of topology.zones) {
        const all = topology.racks.flatMap((rack, rackIndex) =>
            rack.zone === zone
                ? rack.workers.map(worker => ({
                    id: worker.id,
                    rackIndex,
                    rackSize: rack.workers.length,
                    size: (rack.capacity ?? topology.capacity).accelerators,
                }))
                : []
        );
        const usable = all.filter(worker => !drained.has(worker.id));
        const available = usable.filter(worker => !unavailable.has(worker.id));
        const sparesLeft = Math.max(0, preset.spareWorkersPerZone - (usable.length - available.length));
        // Spares are taken from the smallest racks, so that the larger racks remain available to large blocks.
        const ranked = [...available].sort((a, b) =>
            a.rackSize - b.rackSize || ownership.getWeight("spare", b.id) - ownership.getWeight("spare", a.id)
        );
        const spares = new Set(ranked.slice(0, sparesLeft).map(worker => worker.id));
        for (const worker of available) {
            if (!spares.has(worker.id)) {
                const { id, rackIndex, size } = worker;
                bins.push({ workerId: id, rackIndex, zone, size, free: size });
            }
        }
    }
    return bins;
}

interface Piece {
    readonly bin: Bin;
    readonly accelerators: number;
}

function findHome(block: Block, bins: readonly Bin[]): Piece[] | undefined {
    const allowed = bins.filter(bin => bin.free > 0 && (block.zones.length === 0 || block.zones.includes(bin.zone)));
    const perWorker = allowed.reduce((largest, bin) => Math.max(largest, bin.size), 0);
    switch (block.adjacency) {
        case "worker":
            return findInWorker(block, allowed);
        case "rack":
            return block.accelerators <= perWorker
                ? findInWorker(block, allowed)
                : findInGroup(block, groupBins(allowed, bin => `${bin.rackIndex}`));
        case "adjacentRacks":
            return block.accelerators <= perWorker
                ? findInWorker(block, allowed)
                : findInGroup(block, groupBins(allowed, bin => `${bin.rackIndex}`))
                    ?? findInAdjacentRacks(block, allowed);
        case "any":
            return (block.accelerators <= perWorker ? findInWorker(block, allowed) : undefined)
                ?? findAnywhere(block, allowed);
    }
}

/**
 * Best fit: a worker with the fewest free accelerators that suffice. Among equals, rendezvous hashing chooses the rack
 * and then the worker.
 */
function findInWorker(block: Block, bins: readonly Bin[]): Piece[] | undefined {
    let fullest = Infinity;
    let candidates: Bin[] = [];
    for (const bin of bins) {
        if (bin.free < block.accelerators || bin.free > fullest) {
            continue;
        }
        if (bin.free < fullest) {
            fullest = bin.free;
            candidates = [];
        }
        candidates.push(bin);
    }
    const rack = pickHighestWeight(
        [...new Set(candidates.map(bin => bin.rackIndex))],
        index => ownership.getWeight(block.id, `rack ${index}`),
    );
    const best = pickHighestWeight(
        candidates.filter(bin => bin.rackIndex === rack),
        bin => ownership.getWeight(block.id, bin.workerId),
    );
    return best && [{ bin: best, accelerators: block.accelerators }];
}

function pickHighestWeight<T>(items: readonly T[], getWeight: (item: T) => number): T | undefined {
    let best: T | undefined;
    let bestWeight = -1;
    for (const item of items) {
        const weight = getWeight(item);
        if (weight > bestWeight) {
            best = item;
            bestWeight = weight;
        }
    }
    return best;
}

/** Uses the group with the fewest fully free workers: whole workers, and one more for the remainder of the block. */
function findInGroup(block: Block, groups: readonly Bin[][]): Piece[] | undefined {
    const candidates = groups
        .map(group => ({ pieces: fillGroup(block, group), whole: group.filter(bin => bin.free === bin.size).length }))
        .filter(candidate => candidate.pieces)
        .sort((a, b) => a.whole - b.whole);
    return candidates[0]?.pieces;
}

function fillGroup(block: Block, group: readonly Bin[]): Piece[] | undefined {
    const ranked = ownership.rankByRendezvous(block.id, group.map(bin => bin.workerId));
    const byId = new Map(group.map(bin => [bin.workerId, bin]));
    const pieces: Piece[] = [];
    let left = block.accelerators;
    for (const workerId of ranked) {
        const bin = byId.get(workerId)!;
        if (bin.free === bin.size && left >= bin.size) {
            pieces.push({ bin, accelerators: bin.size });
            left -= bin.size;
        }
    }
    if (left === 0) {
        return pieces;
    }
    const used = new Set(pieces.map(piece => piece.bin));
    const rest = group.filter(bin => !used.has(bin) && bin.free >= left).sort((a, b) => a.free - b.free)[0];
    return rest && left < rest.size ? [...pieces, { bin: rest, accelerators: left }] : undefined;
}

function findInAdjacentRacks(block: Block, bins: readonly Bin[]): Piece[] | undefined {
    for (const zoneBins of groupBins(bins, bin => bin.zone)) {
        const racks = groupBins(zoneBins, bin => `${bin.rackIndex}`).sort((a, b) => a[0]!.rackIndex - b[0]!.rackIndex);
        for (let count = 2; count <= racks.length; count++) {
            for (let first = 0; first + count <= racks.length; first++) {
                const pieces = fillGroup(block, racks.slice(first, first + count).flat());
                if (pieces) {
                    return pieces;
                }
            }
        }
    }
    return undefined;
}

function findAnywhere(block: Block, bins: readonly Bin[]): Piece[] | undefined {
    const pieces: Piece[] = [];
    let left = block.accelerators;
    for (const bin of [...bins].sort((a, b) => a.free - b.free)) {
        const accelerators = Math.min(left, bin.free);
        pieces.push({ bin, accelerators });
        left -= accelerators;
        if (left === 0) {
            return pieces;
        }
    }
    return undefined;
}

function groupBins(bins: readonly Bin[], getKey: (bin: Bin) => string): Bin[][] {
    const groups = new Map<string, Bin[]>();
    for (const bin of bins) {
        const key = getKey(bin);
        const group = groups.get(key);
        if (group) {
            group.push(bin);
        }
        else {
            groups.set(key, [bin]);
        }
    }
    return [...groups.values()];
}
