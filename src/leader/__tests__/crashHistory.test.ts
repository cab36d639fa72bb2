import * as crashHistory from "../crashHistory";

interface Case {
    readonly name: string;
    readonly stored?: crashHistory.CrashCounts;
    /** A run of the task is under way as its row is read. */
    readonly isPlaced?: boolean;
    readonly act: (history: crashHistory.CrashHistory) => void;
    readonly knownCrashes: number;
    readonly crashBudgetUsed: number;
    readonly isBeyondLimit?: boolean;
}

const { Certainty } = crashHistory;

function lose(
    history: crashHistory.CrashHistory,
    mostAgeMs: number,
    certainty: crashHistory.Certainty = Certainty.None,
): crashHistory.RunLoss {
    const loss = { mostAgeMs, certainty, isDisproved: false };
    crashHistory.recordStart(history);
    crashHistory.recordLoss(history, loss);
    return loss;
}

const times = (count: number, act: () => void) => Array.from({ length: count }).forEach(act);
const counts = (knownCrashes: number, crashBudgetUsed: number) => ({ knownCrashes, crashBudgetUsed });

const cases: readonly Case[] = [
    { name: "that were never lost", act: () => undefined, ...counts(0, 0) },
    { name: "of which one may have crashed its worker", act: history => lose(history, Infinity), ...counts(0, 1) },
    {
        name: "of which two crashed their workers for certain",
        act: history => times(2, () => lose(history, 100, Certainty.Certain)),
        ...counts(2, 2),
        isBeyondLimit: true,
    },
    {
        name: "of which one crashed its worker for certain, and two are likely to have",
        act: history => {
            lose(history, 100, Certainty.Certain);
            times(2, () => lose(history, 100, Certainty.Likely));
        },
        ...counts(2, 3),
        isBeyondLimit: true,
    },
    {
        name: "of which three are likely to have crashed their workers",
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
        name: "of which a fourth may have crashed its worker, whose start was counted",
        act: history => times(4, () => lose(history, 100)),
        ...counts(0, 4),
    },
    {
        name: "of which the worker of one answers after all",
        act: history => {
            lose(history, 100);
            lose(history, Infinity).isDisproved = true;
        },
        ...counts(0, 1),
    },
    {
        name: "of which a later one works for much longer than the lost ones",
        act: history => {
            times(2, () => lose(history, 1_000));
            crashHistory.recordRunTime(history, 4_000);
        },
        ...counts(0, 0),
    },
    {
        name: "of which a later one works for a little longer than the lost ones",
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
        name: "that an earlier leader counted, of which a later one works for long",
        stored: counts(1, 2),
        act: history => crashHistory.recordRunTime(history, 60_000),
        ...counts(1, 2),
    },
    {
        name: "that an earlier leader counted, with the one under way, which never began",
        stored: counts(0, 5),
        isPlaced: true,
        act: crashHistory.refundStart,
        ...counts(0, 4),
    },
    {
        name: "that an earlier leader counted, without the one under way, which never began",
        stored: counts(0, 3),
        isPlaced: true,
        act: crashHistory.refundStart,
        ...counts(0, 3),
    },
    {
        name: "that an earlier leader counted, with the one under way, which is lost",
        stored: counts(0, 4),
        isPlaced: true,
        act: history =>
            crashHistory.recordLoss(history, { mostAgeMs: Infinity, certainty: Certainty.None, isDisproved: false }),
        ...counts(0, 4),
    },
];

// Guards against a start beyond the budget for crashes, and against a sound task that is given up.
describe("of a task with runs", () => {
    test.each(cases)("$name", ({ stored, isPlaced = false, act, isBeyondLimit = false, ...expected }) => {
        const history = stored
            ? crashHistory.restoreCrashHistory(stored, isPlaced)
            : crashHistory.createCrashHistory();
        act(history);
        expect(crashHistory.getCounts(history)).toEqual(counts(expected.knownCrashes, expected.crashBudgetUsed));
        expect(crashHistory.isCrashLimitReached(history)).toBe(isBeyondLimit);
    });
});
