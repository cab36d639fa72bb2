import * as prediction from "../prediction";

const MAX_BYTES = 1_000;

test("a successor corrects estimates as its predecessor did", () => {
    const first = prediction.createPredictor();
    for (let run = 0; run < 50; run++) {
        first.learn("batch", 1_000, 2_000);
    }
    const second = prediction.createPredictor();
    second.restore(first.encode(MAX_BYTES)!);
    expect(second.predict("batch", 1_000)).toBeCloseTo(first.predict("batch", 1_000), -1);
});

test("a stored correction does not replace one that the new leader has learned", () => {
    // Guards against minutes-old durations that undo those just measured, if the store answers late.
    const predictor = prediction.createPredictor();
    predictor.learn("batch", 1_000, 500);
    const learned = predictor.predict("batch", 1_000);
    predictor.restore("{\"batch\":2}");
    expect(predictor.predict("batch", 1_000)).toBe(learned);
});

test.each(["[1]", "null", "{\"batch\":\"2\"}", "{\"batch\":-1}", "{\"batch\":1e9}", "{"])("rejects %s", text => {
    // Guards against expected durations of hours, or below zero, from a row that something else has written.
    const predictor = prediction.createPredictor();
    expect(() => predictor.restore(text)).toThrow();
    expect(predictor.predict("batch", 1_000)).toBe(1_000);
});

test("keeps the queues with the latest runs if not all fit", () => {
    const predictor = prediction.createPredictor();
    ["old", "new"].forEach(queue => predictor.learn(queue, 1_000, 2_000));
    expect(predictor.encode(20)).toBe("{\"new\":1.080}");
    expect(prediction.createPredictor().encode(MAX_BYTES)).toBeUndefined();
});
