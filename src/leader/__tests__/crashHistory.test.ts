import * as crashHistory from "../crashHistory";

interface Case {
    readonly name: string;
    readonly stored?: crashHistory.CrashCounts;
    /** The stored task has a run. */
    readonly isPlaced?: boolean;
    readonly act: (history: crashHistory.CrashHistory) => void;
    readonly knownCrashes: number;
    readonly crashBudgetUsed: number;
    readonly isBeyondLimit?: boolean;
}

const { Certainty, OtherCause } = crashHistory;

function lose(
    history: crashHistory.CrashHistory,
    maxAgeMs: number,
    certainty: crashHistory.Certainty = Certainty.None,
    otherCause: crashHistory.OtherCause = OtherCause.None,
): crashHistory.RunLoss {
    const loss = { maxAgeMs, certainty, isDisproved: false, findOtherCause: () => otherCause };
    crashHistory.recordStart(history);
    crashHistory.recordLoss(history, loss);
    return loss;
}

const times = (count: number, act: () => void) => Array.from({ length: count }).forEach(act);
const counts = (knownCrashes: number, crashBudgetUsed: number) => ({ knownCrashes, crashBudgetUsed });

const cases: readonly Case[] = [
    { name: "without a loss", act: () => undefined, ...counts(0, 0) },
    { name: "of which one may have crashed its worker", act: history => lose(history, Infinity), ...counts(0, 1) },
    {
        name: "of which two certainly crashed their workers",
        act: history => times(2, () => lose(history, 100, Certainty.Certain)),
        ...counts(2, 2),
        isBeyondLimit: true,
    },
    {
        name: "of which one certainly and two likely crashed their workers",
        act: history => {
            lose(history, 100, Certainty.Certain);
            times(2, () => lose(history, 100, Certainty.Likely));
        },
        ...counts(2, 3),
        isBeyondLimit: true,
    },
    {
        name: "of which three likely crashed their workers",
        act: history => times(3, () => lose(history, 100, Certainty.Likely)),
        ...counts(1.5, 3),
    },
    {
        name: "of which three may have crashed their workers, and two more were stopped",
        act: history => {
            times(3, () => lose(history, 100));
            times(2, () => crashHistory.recordStart(history));
        },
        ...counts(0, 5),
        isBeyondLimit: true,
    },
    {
        name: "of which three may have crashed their workers, and two more never began",
        act: history => {
            times(3, () => lose(history, 100));
            times(2, () => {
                crashHistory.recordStart(history);
                crashHistory.refundStart(history);
            });
        },
        ...counts(0, 3),
    },
    {
        name: "of which a fourth, whose start was charged, may have crashed its worker",
        act: history => times(4, () => lose(history, 100)),
        ...counts(0, 4),
    },
    {
        name: "of which one was lost with a worker that answers again",
        act: history => {
            lose(history, 100);
            lose(history, Infinity).isDisproved = true;
        },
        ...counts(0, 1),
    },
    {
        name: "of which one was lost with a worker that another task may have crashed",
        act: history => lose(history, 100, Certainty.None, OtherCause.Possible),
        ...counts(0, 1),
    },
    {
        name: "of which one was lost with a worker that another task has crashed",
        act: history => {
            lose(history, 100);
            lose(history, 100, Certainty.None, OtherCause.Known);
        },
        ...counts(0, 1),
    },
    {
        name: "of which a later one runs for much longer than the lost ones",
        act: history => {
            times(2, () => lose(history, 1_000));
            crashHistory.recordRunTime(history, 4_000);
        },
        ...counts(0, 0),
    },
    {
        name: "of which a later one runs for a little longer than the lost ones",
        act: history => {
            times(2, () => lose(history, 1_000));
            crashHistory.recordRunTime(history, 3_000);
        },
        ...counts(0, 2),
    },
    {
        name: "of which a later one is lost at a much lower age than an earlier one",
        act: history => {
            crashHistory.recordRunTime(history, 7_000);
            lose(history, 7_500);
            lose(history, 1_000);
        },
        ...counts(0, 1),
    },
    {
        name: "that an earlier leader counted, of which a later one runs for long",
        stored: counts(1, 2),
        act: history => crashHistory.recordRunTime(history, 60_000),
        ...counts(1, 2),
    },
    {
        name: "that an earlier leader counted with the current start, which is refunded",
        stored: counts(0, 5),
        isPlaced: true,
        act: crashHistory.refundStart,
        ...counts(0, 4),
    },
    {
        name: "that an earlier leader counted without the current start, which is not refunded",
        stored: counts(0, 3),
        isPlaced: true,
        act: crashHistory.refundStart,
        ...counts(0, 3),
    },
    {
        name: "that an earlier leader counted with the current start, whose run is lost",
        stored: counts(0, 4),
        isPlaced: true,
        act: history =>
            crashHistory.recordLoss(history, {
                maxAgeMs: Infinity,
                certainty: Certainty.None,
                isDisproved: false,
                findOtherCause: () => OtherCause.None,
            }),
        ...counts(0, 4),
    },
];

// Guards against starts beyond the crash budget, and against giving up a healthy task.
describe("crash counts of a task with runs", () => {
    test.each(cases)("$name", ({ stored, isPlaced = false, act, isBeyondLimit = false, ...expected }) => {
        const history = stored
            ? crashHistory.restoreCrashHistory(stored, isPlaced)
            : crashHistory.createCrashHistory();
        act(history);
        expect(crashHistory.getCounts(history)).toEqual(counts(expected.knownCrashes, expected.crashBudgetUsed));
        expect(crashHistory.isCrashLimitReached(history)).toBe(isBeyondLimit);
    });
});

// Guards against giving up a healthy task for crashes of which another task is the likelier cause.
describe("giving up a task waits for other jobs", () => {
    test.each([
        { name: "if they may have caused a loss", certainty: Certainty.None, cause: OtherCause.Possible, waits: true },
        { name: "not if they cannot have", certainty: Certainty.None, cause: OtherCause.None, waits: false },
        {
            name: "not if the task has certainly crashed two workers",
            certainty: Certainty.Certain,
            cause: OtherCause.Possible,
            waits: false,
        },
    ])("$name", ({ certainty, cause, waits }) => {
        const history = crashHistory.createCrashHistory();
        times(4, () => lose(history, 100, certainty));
        lose(history, 100, Certainty.None, cause);
        expect(crashHistory.isCrashLimitReached(history)).toBe(true);
        expect(crashHistory.mayBelongToOthers(history)).toBe(waits);
    });
});
