/** What may differ from one deployment or experiment to the next: the order of the queue and the price of a stop. */
import * as mechanism from "./mechanism";
import * as order from "./order";
import * as stopCost from "./stopCost";

export interface Policy {
    compare(a: order.Urgency, b: order.Urgency): number;
    getStopCost(input: stopCost.StopCostInput): number;
    readonly disabledMechanisms: ReadonlySet<mechanism.Mechanism>;
}

/** Guarantees come first under any policy: they are promises, not preferences. */
function afterClaims(compare: Policy["compare"]): Policy["compare"] {
    return (a, b) => b.tier - a.tier || compare(a, b);
}

const { getStopCost } = stopCost;
const leftOut = mechanism.NO_MECHANISMS;

/** By name. `worth` is what instances use; the others are there to be compared with it. */
export const POLICIES = {
    /** What can still be earned, then priority, then the time that is left. */
    worth: { compare: order.compareUrgency, getStopCost, disabledMechanisms: leftOut },
    /** The same order; stops are weighed by the thrown away work alone. */
    lossOnly: {
        compare: order.compareUrgency,
        getStopCost: input => input.lossCoreSeconds,
        disabledMechanisms: leftOut,
    },
    arrival: { compare: afterClaims((a, b) => b.ageMs - a.ageMs), getStopCost, disabledMechanisms: leftOut },
    priority: {
        compare: afterClaims((a, b) => a.priority - b.priority || b.ageMs - a.ageMs),
        getStopCost,
        disabledMechanisms: leftOut,
    },
    shortest: {
        compare: afterClaims((a, b) => a.remainingMs - b.remainingMs),
        getStopCost,
        disabledMechanisms: leftOut,
    },
    slack: {
        compare: afterClaims((a, b) => order.compareNumbers(order.getSlackMs(a), order.getSlackMs(b))),
        getStopCost,
        disabledMechanisms: leftOut,
    },
} satisfies Readonly<Record<string, Policy>>;
export type PolicyName = keyof typeof POLICIES;

/** The policy with these mechanisms left out. */
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
