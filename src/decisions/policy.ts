/** Scheduling policies, by which deployments and experiments differ: the queue order and the cost of a stop. */
import * as mechanism from "./mechanism";
import * as order from "./order";
import * as stopCost from "./stopCost";

/** Orders waiting work and weighs the victims of preemption. */
export interface Policy {
    /** Sort comparator; negative if `a` is served first. */
    compare(a: order.Urgency, b: order.Urgency): number;
    /** Cost of stopping running work, in core-seconds. */
    getStopCost(input: stopCost.StopCostInput): number;
    readonly disabledMechanisms: ReadonlySet<mechanism.Mechanism>;
}

/** Sorts by preemption tier first: every policy has to meet the accounts' guarantees. */
function compareTierFirst(compare: Policy["compare"]): Policy["compare"] {
    return (a, b) => b.tier - a.tier || compare(a, b);
}

const { getStopCost } = stopCost;
const disabledMechanisms = mechanism.NO_MECHANISMS;

/** Policies by name. Instances use `worth`; the others are baselines for experiments. */
export const POLICIES = {
    /** Orders by lateness class, then priority, then slack. */
    worth: { compare: order.compareUrgency, getStopCost, disabledMechanisms },
    /** The same order, but a stop costs only the thrown-away work. */
    lossOnly: {
        compare: order.compareUrgency,
        getStopCost: input => input.lossCoreSeconds,
        disabledMechanisms,
    },
    arrival: {
        compare: compareTierFirst((a, b) => b.ageMs - a.ageMs),
        getStopCost,
        disabledMechanisms,
    },
    priority: {
        compare: compareTierFirst((a, b) => a.priority - b.priority || b.ageMs - a.ageMs),
        getStopCost,
        disabledMechanisms,
    },
    shortest: {
        compare: compareTierFirst((a, b) => a.remainingMs - b.remainingMs),
        getStopCost,
        disabledMechanisms,
    },
    slack: {
        compare: compareTierFirst((a, b) => order.compareNumbers(order.getSlackMs(a), order.getSlackMs(b))),
        getStopCost,
        disabledMechanisms,
    },
} satisfies Readonly<Record<string, Policy>>;
/** Name of a policy, as command lines have it. */
export type PolicyName = keyof typeof POLICIES;

/** The policy with these mechanisms disabled, besides those that it disables itself. */
export function disableMechanisms(policy: Policy, names: Iterable<mechanism.Mechanism>): Policy {
    const all: ReadonlySet<mechanism.Mechanism> = new Set([...policy.disabledMechanisms, ...names]);
    return {
        ...policy,
        disabledMechanisms: all,
        compare: all.has("inTimeOrder") ? order.compareWithoutLateness : policy.compare,
        getStopCost: input =>
            policy.getStopCost({
                ...input,
                ignoresLateness: all.has("lateness"),
                preemptions: all.has("repeatedStops") ? 0 : input.preemptions,
            }),
    };
}
