import * as explain from "../index";

const JOB = "00000000000000aa";
const OTHER = "00000000000000bb";

/** A log line, `second` seconds after a fixed time. */
function line(second: number, event: string, fields: Record<string, unknown> = {}, instance = "leader"): string {
    const time = new Date(1_700_000_000_000 + second * 1_000).toISOString();
    return JSON.stringify({ time, level: "info", instance, event, ...fields });
}

function submitted(second: number, outcome: string, fields: Record<string, unknown> = {}): string {
    return line(second, "request", {
        call: "submit",
        job: JOB,
        account: "x",
        queue: "q",
        outcome,
        tookMs: 0,
        ...fields,
    }, "a");
}

function placed(second: number, unit: string, waitedMs: number): string {
    return line(second, "placed", { unit: `${JOB}.${unit}`, run: 1, waitedMs });
}

function lost(second: number, task: string, ranMs: number, reason: string): string {
    return line(second, "runEnded", { task: `${JOB}.${task}`, how: "stopped", ranMs, reason });
}

function ended(second: number, state = "completed"): string {
    return line(second, "jobEnded", { job: JOB, state, objectiveMs: 4_000, expectedMs: 2_000, coreSeconds: 9 });
}

function createReport(lines: readonly string[]): explain.JobReport {
    return explain.createJobReport(lines.map(explain.parseLogLine).filter(parsed => parsed !== undefined));
}

interface Case {
    readonly name: string;
    readonly lines: readonly string[];
    readonly served: explain.Served;
    readonly delays: Readonly<Record<string, number>>;
}

const cases: readonly Case[] = [
    {
        name: "completed in time",
        lines: [submitted(0, "accepted"), placed(1, "0.0.0", 1_000), ended(3)],
        served: "inTime",
        delays: { entry: 0, place: 1_000, longRun: 0 },
    },
    {
        name: "late because its first submission was refused",
        lines: [
            submitted(0, "notAccepted", { reason: "the store cannot be reached" }),
            submitted(3, "accepted"),
            placed(3, "0.0.0", 0),
            ended(5),
        ],
        served: "late",
        delays: { entry: 3_000, place: 0, longRun: 0 },
    },
    {
        name: "late because a gang was preempted, which each member logs",
        lines: [
            submitted(0, "accepted"),
            placed(0, "0.0.0", 0),
            lost(2, "0.0.0", 2_000, "preempted for bb.0.0.0"),
            lost(2, "0.0.1", 1_900, "preempted for bb.0.0.0"),
            placed(4, "0.0.0", 2_000),
            ended(6),
        ],
        served: "late",
        delays: { entry: 0, place: 0, preempted: 4_000, longRun: 0 },
    },
    ...([["gangReserved", "placeReserved"], ["startDeferred", "placeDeferred"]] as const).map((
        [event, cause],
    ): Case => ({
        name: `late because it waited after ${event}`,
        lines: [
            submitted(0, "accepted"),
            line(1, event, { unit: `${JOB}.0.0.0` }),
            placed(3, "0.0.0", 3_000),
            ended(5),
        ],
        served: "late",
        delays: { entry: 0, [cause]: 3_000, longRun: 0 },
    })),
    {
        name: "late by the slowest task of each step",
        lines: [
            submitted(0, "accepted"),
            placed(0, "0.0.0", 0),
            placed(2, "0.0.1", 2_000),
            placed(3, "0.1.0", 500),
            ended(11),
        ],
        served: "late",
        delays: { entry: 0, place: 2_500, longRun: 6_500 },
    },
    {
        name: "missed because it failed",
        lines: [
            submitted(0, "accepted"),
            placed(0, "0.0.0", 0),
            line(2, "runFailed", { task: `${JOB}.0.0.0`, worker: "w", ranMs: 2_000 }),
            ended(2, "failed"),
        ],
        served: "missed",
        delays: { entry: 0, place: 0, longRun: 0 },
    },
    {
        name: "refused",
        lines: [submitted(0, "notAccepted", { reason: "no" }), submitted(1, "notAccepted", { reason: "no" })],
        served: "refused",
        delays: { entry: 0 },
    },
    {
        // Guards against a report that cannot be created at all: a leader that exceeds its limit of log lines omits the
        // placement of a step but logs a run that ended early, so the step has no known unit.
        name: "late, with a lost run whose placement is not logged",
        lines: [submitted(0, "accepted"), lost(2, "0.0.0", 2_000, "preempted for bb.0.0.0"), ended(5)],
        served: "late",
        delays: { entry: 0, longRun: 3_000 },
    },
    { name: "not finished", lines: [submitted(0, "accepted")], served: "open", delays: { entry: 0 } },
];

describe("job report", () => {
    test.each(cases)("shows the result and the delays of a job that is $name", ({ lines, served, delays }) => {
        const [job] = createReport(lines).jobs;
        expect(job).toMatchObject({ jobId: JOB, queue: "q", entry: "a", served });
        expect(job!.delays).toEqual(delays);
    });

    test("omits cancelled jobs", () => {
        expect(createReport([submitted(0, "accepted"), ended(1, "cancelled")]).jobs).toEqual([]);
    });

    test("adds up the thrown-away work of all terms, whose lines each have the totals of their term so far", () => {
        const report = createReport([
            line(1, "workThrownAway", { token: 1, coreSeconds: { preempted: 5 } }),
            line(3, "workThrownAway", { token: 1, coreSeconds: { preempted: 7, jobCancelled: 2 } }),
            line(9, "workThrownAway", { token: 2, coreSeconds: { preempted: 4 } }),
        ]);
        expect(report.thrownAway).toEqual({ preempted: 11, jobCancelled: 2 });
        expect(explain.renderJobReport(report)).toContain("13 core-seconds  all");
    });

    test("shows how the victim of a preemption and the job that benefits from it were served", () => {
        const other = (text: string) => text.replaceAll(JOB, OTHER);
        const report = createReport([
            submitted(0, "accepted"),
            placed(0, "0.0.0", 0),
            other(submitted(1, "accepted")).replace("\"q\"", "\"urgent\""),
            line(1, "preempting", { group: `${JOB}.0.0.0`, forUnit: `${OTHER}.0.0.0`, lossCoreSeconds: 7 }),
            other(ended(3)),
            ended(9),
        ]);
        expect(report.stops).toEqual([{
            victimQueue: "q",
            victimServed: "late",
            forQueue: "urgent",
            forServed: "inTime",
            lossCoreSeconds: 7,
        }]);
        const text = explain.renderJobReport(report);
        expect(text).toContain("q (late) for urgent (inTime)");
        expect(text).toContain(`${JOB}  q  late (completed)  9000 of 4000 ms, 9 core-seconds: longRun 7000`);
    });
});
