import * as explain from "../index";

const JOB = "00000000000000aa";

/** A log line, `second` seconds after a fixed time. */
function line(second: number, event: string, fields: Record<string, unknown> = {}, instance = "a"): string {
    const time = new Date(1_700_000_000_000 + second * 1_000).toISOString();
    return JSON.stringify({ time, level: "info", instance, event, ...fields });
}

/** A line of a submission with the given outcome. */
function submitted(
    second: number,
    outcome: string,
    reason?: string,
    fields: Record<string, unknown> = {},
): string {
    return line(second, "request", {
        request: "r1",
        call: "submit",
        job: JOB,
        account: "x",
        outcome,
        reason,
        ...fields,
    });
}

interface Case {
    readonly name: string;
    readonly lines: readonly string[];
    readonly verdict: explain.Verdict;
    /** Last line of the rendered timeline. */
    readonly text: string;
}

const cases: readonly Case[] = [
    {
        name: "refused while the store was unreachable",
        lines: [line(0, "storeLost", { why: "silence" }), submitted(1, "notAccepted", "the store cannot be reached")],
        verdict: { kind: "refused", reason: "the store cannot be reached" },
        text: "Refused, not run: the store cannot be reached.",
    },
    {
        name: "refused for load",
        lines: [
            submitted(1, "notAccepted", "refused for load", {
                admission: "refused",
                expectedWaitMs: 40_000,
                maxWaitMs: 19_000,
                loadAgeMs: 300,
            }),
        ],
        verdict: { kind: "refusedForLoad", expectedWaitMs: 40_000, maxWaitMs: 19_000, loadAgeMs: 300 },
        text: "Refused for load, not run: the expected wait of 40000 ms exceeds the 19000 ms after which the job earns "
            + "nothing; the load was known as of 300 ms before.",
    },
    {
        name: "accepted at the second attempt, and completed after a preemption",
        lines: [
            submitted(0, "notAccepted", "busy"),
            submitted(1, "accepted"),
            line(3, "placed", { unit: `${JOB}.0.0.0`, run: 1 }, "b"),
            line(4, "runEnded", { task: `${JOB}.0.0.0`, how: "stopped", reason: "preempted for ff.0.0.0" }, "b"),
            line(9, "jobEnded", { job: JOB, state: "completed", ageMs: 8_000 }, "b"),
        ],
        verdict: { kind: "completed", ageMs: 8_000, waitedMs: 2_000, setbacks: { preempted: 1 } },
        text: "Completed after 8000 ms, first placed after 2000 ms; runs that ended early: 1 preempted.",
    },
    {
        name: "failed after failed runs on two workers",
        lines: [
            submitted(0, "accepted"),
            line(2, "runFailed", { task: `${JOB}.0.0.0`, worker: "w1" }, "b"),
            line(4, "runFailed", { task: `${JOB}.0.0.0`, worker: "w2" }, "b"),
            line(4, "jobEnded", { job: JOB, state: "failed", ageMs: 4_000 }, "b"),
        ],
        verdict: { kind: "failed", runs: 2, workers: ["w1", "w2"] },
        text: "Failed after 2 failed runs, on w1, w2.",
    },
    {
        name: "failed because workers crashed while they ran one of its tasks",
        lines: [
            submitted(0, "accepted"),
            line(1, "runLost", { task: `${JOB}.0.0.1`, worker: "w0" }, "b"),
            line(2, "runLost", { task: `${JOB}.0.0.0`, worker: "w1" }, "b"),
            line(4, "runLost", { task: `${JOB}.0.0.0`, worker: "w2" }, "b"),
            line(4, "taskGivenUp", { task: `${JOB}.0.0.0` }, "b"),
            line(4, "jobEnded", { job: JOB, state: "failed", ageMs: 4_000 }, "b"),
        ],
        verdict: { kind: "givenUp", task: `${JOB}.0.0.0`, workers: ["w1", "w2"] },
        text: `Failed: workers crashed while they ran task ${JOB}.0.0.0: w1, w2.`,
    },
    {
        name: "cancelled",
        lines: [submitted(0, "accepted"), line(4, "jobEnded", { job: JOB, state: "cancelled" }, "b")],
        verdict: { kind: "cancelled" },
        text: "Cancelled by its caller.",
    },
    {
        name: "not in any log line",
        lines: [line(0, "jobEnded", { job: "00000000000000ab" }), "not a line", "{\"cut off"],
        verdict: { kind: "unknown" },
        text: "No log line refers to it.",
    },
];

describe("explain", () => {
    test.each(cases)("verdict of a job: $name", ({ lines, verdict, text }) => {
        const parsed = lines.map(explain.parseLogLine).filter(entry => entry !== undefined);
        for (const id of verdict.kind === "unknown" ? [JOB] : [JOB, "r1"]) {
            const timeline = explain.createTimeline(parsed, id);
            expect(timeline.verdict).toEqual(verdict);
            expect(explain.renderTimeline(timeline).split("\n").at(-1)).toBe(text);
        }
    });

    test("orders the lines of several instances by time, with the state changes of these instances in between", () => {
        const parsed = [
            line(4, "jobEnded", { job: JOB, state: "completed", ageMs: 1 }, "b"),
            line(2, "leadershipTaken", { token: 2 }, "b"),
            line(2, "leadershipTaken", { token: 9 }, "elsewhere"),
            `  0.001 a ${submitted(0, "accepted")}`,
        ].map(explain.parseLogLine).filter(entry => entry !== undefined);
        expect(explain.createTimeline(parsed, JOB).lines.map(entry => entry.event))
            .toEqual(["request", "leadershipTaken", "jobEnded"]);
    });
});
