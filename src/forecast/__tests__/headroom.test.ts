import type * as work from "../../work/index";
import * as forecast from "../index";

const NONE = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

/** A minute of demand in accelerators, half a second each; `peakEvery` seconds it rises to 100 for a second. */
function createDemand(peakEvery: number): work.Resources[] {
    return Array.from({ length: 120 }, (_, index) => ({
        ...NONE,
        accelerators: index < 118 && index % (2 * peakEvery) < 2 ? 100 : 10,
    }));
}

describe("the start of work of the tier None", () => {
    const cases: ReadonlyArray<
        readonly [name: string, fields: Partial<forecast.HeadroomInput>, outcome: forecast.HeadroomOutcome]
    > = [
        ["is deferred if urgent work would probably stop it", {}, "deferred"],
        ["happens if the peak of urgent work fits beside it", { freeAfter: { ...NONE, accelerators: 90 } }, "unlikely"],
        ["happens if most periods of its length have no peak", { demand: createDemand(25) }, "unlikely"],
        ["happens if it ends before most peaks", { durationMs: 1_000 }, "unlikely"],
        ["happens if it saves checkpoints", { savesCheckpoints: true }, "savesCheckpoints"],
        ["happens if its job would be late by waiting", { slackMs: 2_900 }, "noSlack"],
        ["happens if no wait helps its job", { slackMs: Infinity }, "noSlack"],
        ["happens without a forecast", { demand: [] }, "noForecast"],
        ["happens if less than two runs were observed", { demand: createDemand(10).slice(-39) }, "noForecast"],
    ];
    test.each(cases)("%s", (_name, fields, outcome) => {
        const input = {
            durationMs: 10_000,
            savesCheckpoints: false,
            slackMs: 20_000,
            freeAfter: { ...NONE, accelerators: 20 },
            demand: createDemand(10),
        };
        expect(forecast.decideHeadroom({ ...input, ...fields }).outcome).toBe(outcome);
    });
});

describe("a forecast", () => {
    const createArrival = (queue: string, account = "a"): forecast.Arrival => ({
        service: "booking",
        queue,
        account,
        width: 5,
        needs: { cpuMillis: 1_000, memoryMb: 1_024, accelerators: 2 },
        durationMs: 2_000,
    });

    test("has the demand of the work that arrived, for as long as it runs", () => {
        const arrivals = forecast.createForecast();
        arrivals.record(10_000, createArrival("urgent"));
        arrivals.record(11_000, createArrival("urgent"));
        const demand = arrivals.getDemand("booking", 13_000).map(({ accelerators }) => accelerators);
        expect(demand).toEqual([10, 10, 20, 20, 10, 10, 0]);
        expect(arrivals.getDemand("other", 13_000)).toEqual([]);
    });

    test("forgets arrivals of more than a minute ago", () => {
        const arrivals = forecast.createForecast();
        arrivals.record(10_000, createArrival("urgent"));
        expect(arrivals.getDemand("booking", 70_001)).toEqual([]);
    });

    test("is continued by a successor, with its waves", () => {
        const first = forecast.createForecast();
        for (let at = 4_000; at < 60_000; at += 10_000) {
            first.record(at, createArrival("urgent"));
        }
        const successor = forecast.createForecast();
        successor.restore(first.encode(8_192, 60_000)!, 1_000, 500_000);
        const demand = successor.getDemand("booking", 500_000).map(({ accelerators }) => accelerators);
        expect(demand.filter(accelerators => accelerators === 10)).toHaveLength(6 * 4);
        expect(Math.max(...demand)).toBe(10);
    });

    test("stores the queues and accounts with the most arrivals within its bound", () => {
        const arrivals = forecast.createForecast();
        for (let account = 0; account < 200; account++) {
            for (let count = 0; count <= account % 10; count++) {
                arrivals.record(1_000 + count, createArrival("urgent", `account-${account}`));
            }
        }
        const text = arrivals.encode(32_768, 2_000)!;
        expect(Buffer.byteLength(text)).toBeLessThanOrEqual(8_192);
        expect(text).toContain("account-199");
        expect(text).not.toContain("account-190\"");
    });

    test.each(["{}", "[[]]", "[[\"booking\",\"urgent\",\"a\",1,1,1,1,1,\"short\"]]", "text"])(
        "rejects the unreadable row %s and stays empty",
        text => {
            const arrivals = forecast.createForecast();
            expect(() => arrivals.restore(text, 0, 1_000)).toThrow();
            expect(arrivals.getDemand("booking", 1_000)).toEqual([]);
        },
    );
});
