import * as clocks from "../../clock/index";
import * as telemetry from "../index";

describe("log lines", () => {
    function open(getWaiting: () => number) {
        const time = clocks.createManualClock(0);
        const written: string[] = [];
        const log = telemetry.createLineLog({
            clock: time,
            instance: "a",
            meter: telemetry.createMetrics().meter,
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

    test("a burst of lines is cut at the limit, and the next line states how many were dropped", async () => {
        const { time, written, log } = open(() => 0);
        for (let line = 0; line < 5_000; line++) {
            log.info("line");
        }
        expect(written).toHaveLength(1_200);
        await time.advance(1_000);
        log.info("after");
        expect(JSON.parse(written.at(-1)!)).toMatchObject({ event: "after", droppedBefore: 3_800 });
    });

    test("lines are dropped, not buffered, while the reader stalls", () => {
        // Guards against an instance that grows until it is killed: the reader of its output stalls, and lines are kept
        // until they can be written.
        let waiting = 2 << 20;
        const { written, log } = open(() => waiting);
        log.info("lost");
        waiting = 0;
        log.info("kept");
        expect(written.map(text => JSON.parse(text))).toMatchObject([{ event: "kept", droppedBefore: 1 }]);
    });
});

describe("metrics", () => {
    test("counters, gauges and histograms are rendered as text", () => {
        const { meter, render } = telemetry.createMetrics();
        const labels = { call: "submit", outcome: "accepted", account: "al\"pha", queue: "q" };
        meter.increment("requests_total", labels, 2);
        meter.increment("terms_total");
        meter.record("request_duration_ms", { call: "submit", account: "alpha" }, 7);
        meter.record("request_duration_ms", { call: "submit", account: "alpha" }, 700_000);
        const end = meter.registerGauges(() => [{ metric: "leading", value: 1 }]);
        const text = render();
        const duration = "plantainchute_request_duration_ms";
        expect(text).toContain("# HELP plantainchute_requests_total callers' requests\n");
        expect(text).toContain("# TYPE plantainchute_requests_total counter\n");
        expect(text).toContain(
            "plantainchute_requests_total{call=\"submit\",outcome=\"accepted\",account=\"al\\\"pha\",queue=\"q\"} 2\n",
        );
        expect(text).toContain("plantainchute_terms_total 1\n");
        expect(text).toContain("plantainchute_leading 1\n");
        expect(text).toContain(`${duration}_bucket{call="submit",account="alpha",le="5"} 0\n`);
        expect(text).toContain(`${duration}_bucket{call="submit",account="alpha",le="10"} 1\n`);
        expect(text).toContain(`${duration}_bucket{call="submit",account="alpha",le="+Inf"} 2\n`);
        expect(text).toContain(`${duration}_sum{call="submit",account="alpha"} 700007\n`);
        end();
        expect(render()).not.toContain("plantainchute_leading 1\n");
    });
});
