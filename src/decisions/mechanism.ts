/**
 * What the scheduler does beyond starting what fits, in the order of the queue. Each mechanism can be left out, so that
 * what it is worth can be measured; docs/POLICY.md has the figures.
 */
export const MECHANISMS = {
    preemption: "running work is stopped for urgent and guaranteed work",
    sparing: "victims of a stop that turn out not to be needed go on",
    lateness: "a stop costs more where the victim's job ends late for it",
    repeatedStops: "a stop costs more for a victim that was stopped before",
    rests: "work that was stopped for urgent work is not started at once again",
    rackPatience: "a gang waits for a rack that can hold it",
    dataPatience: "a task waits for room in the rack of its data",
    gangData: "a gang is placed where its data is, with stops and waits for that if need be",
    idlePatience: "beside idle workers nothing waits long for a better place",
    inTimeOrder: "what can still be in time goes before what is late",
    prediction: "callers' estimates are corrected by what was seen of their queue",
    hangingTasks: "tasks without progress are stopped and their workers set aside",
    failingWorkers: "workers on which several runs fail are set aside",
    earlyFailures: "a run that fails as soon as it begins is enough to set its worker aside",
    slowWorkers: "workers that turn slow are set aside",
    slowMoves: "tasks on slow workers are moved where that pays",
    leavingWorkers: "what cannot end before its worker leaves is stopped in time",
    isolation: "a task that may take its worker down is started apart from other work",
    unansweredLooks: "a start without an answer is looked for before it is stopped",
    relay: "requests that an instance cannot serve are passed on",
    handover: "a leader that loses the store hands its term over",
    heartbeats: "a silent leader is succeeded before its lease lapses",
    prolonging: "a leader without the store keeps the leases of running work",
    firstLooks: "a new leader looks at its workers in turns",
} as const;
export type Mechanism = keyof typeof MECHANISMS;

export const NO_MECHANISMS: ReadonlySet<Mechanism> = new Set();

export function isMechanism(name: string): name is Mechanism {
    return Object.hasOwn(MECHANISMS, name);
}
