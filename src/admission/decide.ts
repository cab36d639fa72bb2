/**
 * Decides whether a submission is accepted, from the leader's last summary.
 *
 * A job is refused only if it is expected to earn no credit: the work that is served before it takes longer than the
 * job can wait. Whatever is unknown counts in favour of the job.
 */
import * as work from "../work/index";
import * as loadSummary from "./loadSummary";

/** A summary and its age at this instance. */
export interface LoadView {
    readonly summary: loadSummary.LoadSummary;
    readonly ageMs: number;
}

/** What the decision depends on. */
export interface AdmissionInput {
    readonly view: LoadView | undefined;
    readonly queue: {
        readonly name: string;
        readonly priority: number;
        readonly stretch: number;
        objectiveMs: number;
    };
    readonly account: string;
    readonly spec: Pick<work.JobSpec, "steps" | "repeats">;
}

/** Why a submission is accepted. The values are labels of a metric. */
export type AcceptReason =
    /** There is no summary. */
    | "noView"
    /** The summary is too old to decide by. */
    | "staleView"
    /** The queue has no wait in the summary. */
    | "noWait"
    /** The job runs on a schedule or until it is cancelled, so it has no objective. */
    | "noObjective"
    /** The account may be within its guarantee. */
    | "withinGuarantee"
    /** The job can wait as long as expected and still earn partial credit. */
    | "canWait";

/** The decision, with the inputs that determined it. */
export type Decision =
    | { readonly kind: "accept"; readonly reason: AcceptReason; readonly inputs?: DecisionInputs; }
    | { readonly kind: "refuse"; readonly inputs: DecisionInputs; };

/** Inputs of a decision about a queue with a wait, in milliseconds. */
export interface DecisionInputs {
    readonly expectedWaitMs: number;
    /** Longest wait after which the job still earns partial credit. */
    readonly maxWaitMs: number;
    /** Time in which so much of the waiting work is served that a job like this could start in time; at least 0. */
    readonly capacityInMs: number;
    readonly viewAgeMs: number;
}

/** Summaries come twice a second; after 2 s the leader is lost or out of reach, and the load may be another. */
const MAX_VIEW_AGE_MS = 2_000;
/** A late job earns partial credit until this multiple of its objective. */
const PARTIAL_CREDIT_MULTIPLE = 3;
/** Queues of this priority may hold guaranteed work. */
const GUARANTEED_PRIORITY = 0;

/** Decides about a submission that is not stored yet. */
export function decide(input: AdmissionInput): Decision {
    const { view, queue, spec } = input;
    if (!view) {
        return { kind: "accept", reason: "noView" };
    }
    if (view.ageMs > MAX_VIEW_AGE_MS) {
        return { kind: "accept", reason: "staleView" };
    }
    const load = view.summary.queues.get(queue.name);
    if (!load) {
        return { kind: "accept", reason: "noWait" };
    }
    if (spec.repeats > 0 || spec.steps.some(step => step.lasting)) {
        return { kind: "accept", reason: "noObjective" };
    }
    const workMs = getCriticalPathMs(spec.steps);
    const objectiveMs = queue.stretch * workMs + queue.objectiveMs;
    const slackMs = Math.max(0, objectiveMs - workMs);
    const waitMs = loadSummary.getWaitMs(load, slackMs);
    const inputs: DecisionInputs = {
        expectedWaitMs: waitMs <= slackMs ? waitMs : Math.max(waitMs, load.lateWaitMs),
        capacityInMs: Math.max(0, waitMs - slackMs),
        maxWaitMs: Math.max(0, PARTIAL_CREDIT_MULTIPLE * objectiveMs - workMs),
        viewAgeMs: Math.round(view.ageMs),
    };
    if (inputs.expectedWaitMs <= inputs.maxWaitMs) {
        return { kind: "accept", reason: "canWait", inputs };
    }
    if (queue.priority === GUARANTEED_PRIORITY && !view.summary.accountsBeyondGuarantee.has(input.account)) {
        return { kind: "accept", reason: "withinGuarantee", inputs };
    }
    return { kind: "refuse", inputs };
}

/** Length of the longest chain of dependent steps, by the caller's estimates. */
function getCriticalPathMs(steps: readonly work.StepSpec[]): number {
    const chains = work.getLongestChains(steps, steps.map(step => step.estimateMs));
    return chains.reduce((longest, chain) => Math.max(longest, chain), 0);
}
