import * as clocks from "../../clock/index";
import * as telemetry from "../index";

describe("log lines", () => {
    function open(getWaiting: () => number) {
        const time = clocks.createManualClock(0);
        const written: string[] = [];
        const log = telemetry.createLineLog({
            clock: time,
            instance: "a",
            output: {
                write: text => {
                    written.push(text);
                    return true;
                },
                get writableLength() {
                    return getWaiting();
                },
            },
        });
        return { time, written, log };
    }

    test("a line is one JSON object with time, level, instance and event", () => {
        const { written, log } = open(() => 0);
        log.warn("storeLost", { why: "silence" });
        expect(written).toHaveLength(1);
        expect(JSON.parse(written[0]!)).toEqual({
            time: "1970-01-01T00:00:00.000Z",
            level: "warn",
            instance: "a",
            event: "storeLost",
            why: "silence",
        });
    });

    test("a storm of lines is cut to the budget, and the count of what was dropped follows", async () => {
        const { time, written, log } = open(() => 0);
        for (let line = 0; line < 5_000; line++) {
            log.info("line");
        }
        expect(written).toHaveLength(1_200);
        await time.advance(1_000);
        log.info("after");
        expect(JSON.parse(written.at(-1)!)).toMatchObject({ event: "after", droppedBefore: 3_800 });
    });

    test("a reader that does not read costs lines, not memory", () => {
        // Symptom: an instance grows until it is killed. Sequence: whoever reads its output stalls. Cause: lines are
        // kept until they can be written.
        let waiting = 2 << 20;
        const { written, log } = open(() => waiting);
        log.info("lost");
        waiting = 0;
        log.info("kept");
        expect(written.map(text => JSON.parse(text))).toMatchObject([{ event: "kept", droppedBefore: 1 }]);
    });
});

describe("metrics", () => {
    test("counters and histograms as text", () => {
        const metrics = telemetry.createMetrics();
        metrics.counters.increment("requests.submit.accepted", 2);
        metrics.histograms.record("alpha", "submit", 7);
        metrics.histograms.record("alpha", "submit", 70_000);
        const text = metrics.render();
        expect(text).toContain("plantainchute_requests_submit_accepted_total 2\n");
        expect(text).toContain("plantainchute_latency_ms_bucket{account=\"alpha\",class=\"submit\",le=\"10\"} 1\n");
        expect(text).toContain("plantainchute_latency_ms_bucket{account=\"alpha\",class=\"submit\",le=\"+Inf\"} 2\n");
        expect(text).toContain("plantainchute_latency_ms_sum{account=\"alpha\",class=\"submit\"} 70007\n");
        expect(metrics.histograms.getSummaries()).toMatchObject([{ count: 2, p50Ms: 10, maxMs: 70_000 }]);
    });
});
