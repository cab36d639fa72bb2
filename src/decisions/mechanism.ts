/**
 * Mechanisms that the scheduler has beyond starting what fits in queue order. Each can be disabled, so that its effect
 * can be measured; docs/POLICY.md has the results.
 */
export const MECHANISMS = {
    preemption: "running work is stopped for urgent and guaranteed work",
    sparing: "preemption victims that turn out not to be needed keep running",
    lateness: "a stop costs more if it makes the victim's job late",
    repeatedStops: "a stop costs more for a victim that was stopped before",
    rests: "preempted work is not restarted at once",
    rackPatience: "a gang waits for a rack that can hold it",
    dataPatience: "a task waits for free resources in the rack of its data",
    gangData: "a gang is placed in the rack of its data, with preemption or a wait if needed",
    idlePatience: "while workers are idle, nothing waits long for a better placement",
    inTimeOrder: "work that can still be in time goes before work that is late",
    prediction: "callers' estimates are corrected by the measured durations of their queue",
    hangingTasks: "tasks without progress are stopped and their workers quarantined",
    failingWorkers: "workers on which several runs fail are quarantined",
    earlyFailures: "one run that fails right after its start is enough to quarantine its worker",
    slowWorkers: "workers that become slow are quarantined",
    slowMoves: "tasks on slow workers are moved if that is worthwhile",
    leavingWorkers: "tasks that cannot end before their worker leaves are stopped in time",
    isolation: "a task that may crash its worker is started apart from other tasks",
    repeatedOrders: "an order without a response is soon sent again to the same worker",
    unansweredLooks: "a start without a response is looked up on the worker before it is stopped",
    relay: "requests that an instance cannot serve are forwarded",
    handover: "a leader that loses the store hands over leadership",
    heartbeats: "a leader without heartbeats is replaced before its lease expires",
    prolonging: "a leader without the store renews the leases of running work",
    firstLooks: "a new leader polls its workers in batches",
    learnedDurations: "the successor of a leader continues with its measured durations",
    workerSpeeds: "work is placed by the measured speed of workers",
    gangExposure: "a gang is placed on few workers while workers are being lost",
    departures: "how long leaving workers stay is learned, and decides what happens to their tasks",
    gangReservations: "a gang that cannot preempt gets workers reserved for it",
    headroom: "work that would probably be stopped for urgent work waits",
    fairShares: "among equals, work of the account that has used less of its share goes first",
    admission: "a submission that cannot be served while it still helps its caller is refused",
} as const;
/** Name of a mechanism, as settings and command lines have it. */
export type Mechanism = keyof typeof MECHANISMS;

/** Disables no mechanism. */
export const NO_MECHANISMS: ReadonlySet<Mechanism> = new Set();

/** Mechanisms that an instance uses only if its settings enable them. */
export const OPTIONAL_MECHANISMS = [
    "learnedDurations",
    "workerSpeeds",
    "gangExposure",
    "departures",
    "gangReservations",
    "headroom",
    "fairShares",
    "admission",
] as const satisfies readonly Mechanism[];

/** Name of an optional mechanism, as settings have it. */
export type OptionalMechanism = typeof OPTIONAL_MECHANISMS[number];

/** Whether an optional mechanism with that name exists. */
export function isOptionalMechanism(name: string): name is OptionalMechanism {
    return (OPTIONAL_MECHANISMS as readonly string[]).includes(name);
}

/** Whether a mechanism with that name exists. */
export function isMechanism(name: string): name is Mechanism {
    return Object.hasOwn(MECHANISMS, name);
}
