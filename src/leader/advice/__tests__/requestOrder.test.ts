import * as decisions from "../../../decisions/index";
import * as work from "../../../work/index";
import * as fixtures from "../../__tests__/fixtures";
import * as entries from "../../entries";
import type * as units from "../../units";
import * as requestOrder from "../requestOrder";

const NOW = 100_000;
const NEEDS: work.Resources = { cpuMillis: 1_000, memoryMb: 1, accelerators: 0 };

interface StepSetup extends Partial<decisions.WaitingUnit> {
    /** Workers for which the step holds valid tickets. */
    readonly ticketed?: readonly string[];
    readonly history?: Partial<requestOrder.StepHistory>;
}

interface Setup {
    /** Cores by worker id. */
    readonly freeCores: Readonly<Record<string, number>>;
    /** Waiting steps by name, in the order of the policy. */
    readonly steps: Readonly<Record<string, StepSetup>>;
}

function createWorker(id: string, cores: number): entries.WorkerEntry {
    const info = entries.createUnknownWorkerInfo(id);
    return entries.createWorkerEntry({
        ...info,
        service: "booking",
        capacity: { cpuMillis: cores * 1_000, memoryMb: 100, accelerators: 0 },
    });
}

function choose({ freeCores, steps }: Setup, turn: requestOrder.Turn): requestOrder.AdviceRequest | undefined {
    const histories = new Map<entries.StepEntry, requestOrder.StepHistory>();
    const waiting = Object.entries(steps).map(([name, { ticketed = [], history, ...unit }]): units.UnitOfTasks => {
        const task = fixtures.createTask(name);
        ticketed.forEach(id => task.step.tickets.set(id, { ticket: "t", until: NOW + 1_000 }));
        histories.set(task.step, { unsuitable: new Set(), lastAskedAt: undefined, ...history });
        return {
            unit: {
                key: name,
                equivalenceClass: name,
                step: name,
                service: "booking",
                needs: NEEDS,
                count: 1,
                gang: false,
                sameRack: false,
                maxPerWorker: 0,
                tier: decisions.PreemptionTier.None,
                excludedWorkerIds: new Set(),
                allowedWorkerIds: new Set(ticketed),
                waitedMs: 5_000,
                expectedDurationMs: 1_000,
                ...unit,
            } as decisions.WaitingUnit,
            urgency: {} as decisions.Urgency,
            tasks: [task],
            omittedTasks: 0,
        };
    });
    return requestOrder.chooseRequest({
        now: NOW,
        turn,
        waiting,
        placeable: Object.entries(freeCores).map(([id, cores]) => createWorker(id, cores)),
        getHistory: step => histories.get(step),
    });
}

const asked = (agoMs: number) => ({ lastAskedAt: NOW - agoMs });
const cases: ReadonlyArray<
    Setup & { name: string; expected: Readonly<Record<requestOrder.Turn, string | undefined>>; }
> = [
    {
        name: "a step that has not been asked for, in the order of the policy, or the one that waits longest",
        freeCores: { w: 1 },
        steps: {
            asked: { history: asked(1_000) },
            urgent: { waitedMs: 500 },
            longest: { waitedMs: 9_000 },
        },
        expected: { mostUrgent: "urgent", longestWaiting: "longest" },
    },
    {
        name: "a step that has been asked for repeatedly still gets its turn",
        freeCores: { w: 1 },
        steps: { new: { waitedMs: 100 }, old: { history: asked(1_000) } },
        expected: { mostUrgent: "new", longestWaiting: "old" },
    },
    {
        name: "a step that could start now before those without room",
        freeCores: { full: 0, free: 1 },
        steps: { wide: { count: 2 }, narrow: { waitedMs: 1 } },
        expected: { mostUrgent: "narrow", longestWaiting: "narrow" },
    },
    {
        name: "a step that may preempt counts as one that could start now",
        freeCores: { full: 0 },
        steps: { waits: {}, preempts: { tier: decisions.PreemptionTier.Urgent } },
        expected: { mostUrgent: "preempts", longestWaiting: "preempts" },
    },
    {
        name: "a step with room gets its turn beside steps that may preempt, however often it is asked for",
        freeCores: { full: 0, free: 1 },
        steps: {
            preempts: { count: 2, tier: decisions.PreemptionTier.Urgent, waitedMs: 9_000 },
            asked: { history: asked(100) },
        },
        expected: { mostUrgent: "preempts", longestWaiting: "asked" },
    },
    {
        name: "a step that may preempt gets its turn beside steps with room",
        freeCores: { full: 0, free: 1 },
        steps: {
            narrow: { history: asked(100) },
            preempts: { count: 2, tier: decisions.PreemptionTier.Urgent, history: asked(1_000) },
        },
        expected: { mostUrgent: "preempts", longestWaiting: "narrow" },
    },
    {
        name: "a step without room only if it holds no valid ticket",
        freeCores: { full: 0, other: 0 },
        steps: { prepared: { ticketed: ["full"] }, unprepared: {} },
        expected: { mostUrgent: "unprepared", longestWaiting: "unprepared" },
    },
    {
        name: "none that fits on workers for which it holds valid tickets",
        freeCores: { free: 1, other: 1 },
        steps: { ticketed: { ticketed: ["free"] } },
        expected: { mostUrgent: undefined, longestWaiting: undefined },
    },
    {
        name: "none of which all workers are known to be unsuitable",
        freeCores: { w: 1 },
        steps: { hopeless: { history: { ...asked(1_000), unsuitable: new Set(["w"]) } } },
        expected: { mostUrgent: undefined, longestWaiting: undefined },
    },
];

// Guards against steps that are never asked for since others, asked for in vain, take all calls to the adviser.
describe("the next call to the adviser is for", () => {
    const rows = cases.flatMap(item => (["mostUrgent", "longestWaiting"] as const).map(turn => ({ ...item, turn })));
    test.each(rows)("$name ($turn)", ({ turn, expected, ...setup }) => {
        expect(choose(setup, turn)?.name).toBe(expected[turn]);
    });
});

// Guards against a step that waits beside free workers: without accelerators, the first workers of the list are asked
// about again whenever their tickets have expired, however full they are.
test("workers with room are asked about first", () => {
    const full = Object.fromEntries(Array.from({ length: 100 }, (_, index) => [`full-${index}`, 0]));
    const request = choose({ freeCores: { ...full, free: 1 }, steps: { step: {} } }, "mostUrgent");
    expect(request?.workers).toHaveLength(30);
    expect(request?.workers[0]!.id).toBe("free");
});
