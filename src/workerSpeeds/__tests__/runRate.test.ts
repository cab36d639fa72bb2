import * as workerSpeeds from "../index";

const SECOND_MS = 1_000;

/** The duration in milliseconds that the last returned rate stands for. */
function measure(samples: ReadonlyArray<readonly [percent: number, atMs: number]>, start: "known" | "unknown") {
    const rate = workerSpeeds.createRunRate(start === "known" ? { percent: 0, at: 0 } : undefined);
    let durationMs: number | undefined;
    for (const [percent, atMs] of samples) {
        const measured = rate.record(percent, atMs);
        durationMs = measured ? 100 / Math.exp(measured.logRate) : durationMs;
    }
    return durationMs;
}

test.each(
    [
        ["from its start", [[20, SECOND_MS], [40, 2 * SECOND_MS]], "known", 5_000],
        ["of a resumed run from its first report", [[60, 900], [80, 1_900]], "unknown", 5_000],
        [
            "that hangs, up to its last progress",
            [[20, SECOND_MS], [40, 2 * SECOND_MS], [40, 9 * SECOND_MS]],
            "known",
            5_000,
        ],
        [
            "that paused, without the pause",
            [[20, SECOND_MS], [21, 8 * SECOND_MS], [41, 9 * SECOND_MS], [61, 10 * SECOND_MS]],
            "known",
            5_000,
        ],
        [
            "that waits at 100 percent for its gang, up to 100 percent",
            [[50, 2_500], [100, 5_000], [100, 12_000]],
            "known",
            5_000,
        ],
    ] as const,
)("measures a run %s", (_name, samples, start, durationMs) => {
    // Guards against a speed that is taken from a time without progress.
    expect(measure(samples, start)).toBeCloseTo(durationMs, -1);
});

test.each(
    [
        ["too little progress", [[3, SECOND_MS], [6, 2 * SECOND_MS]], "known"],
        ["a single report of a resumed run", [[60, SECOND_MS]], "unknown"],
        ["hardly any time", [[20, 100]], "known"],
    ] as const,
)("returns no rate after %s", (_name, samples, start) => {
    expect(measure(samples, start)).toBeUndefined();
});

test("leaves out what is reported after an interruption until the next report", () => {
    const rate = workerSpeeds.createRunRate({ percent: 0, at: 0 });
    rate.record(20, SECOND_MS);
    rate.interrupt();
    rate.record(21, 5 * SECOND_MS);
    const measured = rate.record(41, 6 * SECOND_MS);
    expect(100 / Math.exp(measured!.logRate)).toBeCloseTo(5_000);
});
