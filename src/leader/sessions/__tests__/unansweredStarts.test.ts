import * as clocks from "../../../clock/index";
import * as unansweredStarts from "../unansweredStarts";

const MINUTE_MS = 60_000;

describe("start orders that may still be carried out", () => {
    test("are those in flight and, for a minute, those without an answer", async () => {
        const time = clocks.createManualClock();
        const starts = unansweredStarts.createUnansweredStarts(time);
        const settle = starts.add("w", { task: "t", run: 1 });
        starts.add("w", { task: "u", run: 1 })(true);
        await time.advance(2 * MINUTE_MS);
        expect(starts.list("w")).toEqual([{ task: "t", run: 1 }]);
        settle(false);
        await time.advance(MINUTE_MS - 1);
        expect(starts.has("w", { task: "t", run: 1 })).toBe(true);
        await time.advance(1);
        expect(starts.hasAny("w")).toBe(false);
        expect(starts.count()).toBe(0);
    });

    test("are listed by task with the highest run, which the other runs are not above", () => {
        const starts = unansweredStarts.createUnansweredStarts(clocks.createManualClock());
        for (const run of [2, 3, 1]) {
            starts.add("w", { task: "t", run })(false);
        }
        starts.add("v", { task: "t", run: 4 })(false);
        expect(starts.list("w")).toEqual([{ task: "t", run: 3 }]);
        expect(starts.count()).toBe(4);
    });

    test("include an order whose repetition was answered", () => {
        const starts = unansweredStarts.createUnansweredStarts(clocks.createManualClock());
        starts.add("w", { task: "t", run: 1 })(false);
        starts.add("w", { task: "t", run: 1 })(true);
        expect(starts.hasAny("w")).toBe(true);
    });
});
