/** Weights, dominant shares and usage of accounts. */
import type * as work from "../work/index";

/** What determines the weight of an account in a service. */
export interface WeightInput {
    /** Whether the configuration in force names the account. */
    readonly configured: boolean;
    readonly guaranteedAccelerators: number;
    /** Accelerators of the service that no account is guaranteed. */
    readonly remainingAccelerators: number;
    /** Number of configured accounts without a guarantee, which share the remainder evenly. */
    readonly accountsWithoutGuarantee: number;
}

/** Least weight of an account, in accelerators, so that no account is divided by 0 or starved. */
const MIN_WEIGHT = 1;

/** Weight of an account, in accelerators. */
export function getWeight(input: WeightInput): number {
    if (!input.configured) {
        return MIN_WEIGHT;
    }
    const weight = input.guaranteedAccelerators > 0
        ? input.guaranteedAccelerators
        : input.remainingAccelerators / Math.max(1, input.accountsWithoutGuarantee);
    return Math.max(MIN_WEIGHT, weight);
}

/** The largest of the account's shares of the accelerators, cores and memory of a service, at most 1. */
export function getDominantShare(held: work.Resources, capacity: work.Resources): number {
    const getShare = (dimension: keyof work.Resources) =>
        capacity[dimension] > 0 ? held[dimension] / capacity[dimension] : 0;
    return Math.min(1, Math.max(getShare("accelerators"), getShare("cpuMillis"), getShare("memoryMb")));
}

/**
 * Usage by account; 1 means that the account held exactly its fair share of what all these accounts held. The fair share
 * is the account's weight divided by the sum of the weights, so the share of an account without work falls to the others.
 */
export function getUsage(
    heldByAccount: ReadonlyMap<string, number>,
    weightByAccount: ReadonlyMap<string, number>,
): Map<string, number> {
    let held = 0;
    let weights = 0;
    for (const [account, weight] of weightByAccount) {
        held += heldByAccount.get(account) ?? 0;
        weights += weight;
    }
    return new Map([...weightByAccount].map(([account, weight]) => [
        account,
        held > 0 ? (heldByAccount.get(account) ?? 0) / held / (weight / weights) : 0,
    ]));
}
