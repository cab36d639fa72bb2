import * as random from "../../random/index";
import * as admission from "../index";

function createSummary(queues: number, accounts: number): admission.LoadSummary {
    return {
        computedAt: 1_700_000_000_000,
        queues: new Map(Array.from({ length: queues }, (_, number): [string, admission.QueueLoad] => [
            `queue-${number}`,
            {
                waitingJobs: 30 + number,
                lateWaitMs: 99_000,
                waits: [1, 2, 3, 4].map(point => ({ slackMs: 1_000 * point, waitMs: 10_000 * point + number })),
            },
        ])),
        accountsBeyondGuarantee: new Set(Array.from({ length: accounts }, (_, number) => `account-${number}`)),
    };
}

function getBytes(encoded: unknown): number {
    return Buffer.byteLength(JSON.stringify(encoded));
}

describe("the load summary", () => {
    test.each([[0, 0], [3, 10], [20, 0], [0, 100]])(
        "of %d queues and %d accounts is decoded as it was",
        (...counts) => {
            const summary = createSummary(...counts);
            expect(admission.decodeSummary(JSON.parse(JSON.stringify(admission.encodeSummary(summary))))).toEqual(
                summary,
            );
        },
    );

    test("of the largest site fits its bound, and keeps the longest waits and the accounts furthest beyond", () => {
        const encoded = admission.encodeSummary(createSummary(1_000, 1_000));
        expect(getBytes(encoded)).toBeLessThanOrEqual(admission.MAX_SUMMARY_BYTES);
        expect(Object.keys(encoded.queues).length).toBeGreaterThan(20);
        expect(Object.keys(encoded.queues)).toContain("queue-999");
        expect(encoded.beyond!.length).toBeGreaterThan(100);
        expect(encoded.beyond).toContain("account-0");
    });

    test("with names that need escapes fits its bound", () => {
        const summary = createSummary(0, 0);
        const names = Array.from({ length: 400 }, (_, number) => `"\\\n${number}ü`);
        const queues = new Map(
            names.map(name => [name, { waitingJobs: 1, lateWaitMs: 0, waits: [{ slackMs: 0, waitMs: 5 }] }]),
        );
        const encoded = admission.encodeSummary({ ...summary, queues, accountsBeyondGuarantee: new Set(names) });
        expect(getBytes(encoded)).toBeLessThanOrEqual(admission.MAX_SUMMARY_BYTES);
        expect(Object.keys(encoded.queues).length).toBeGreaterThan(50);
    });

    const malformed: ReadonlyArray<readonly [name: string, value: unknown]> = [
        ["text", "load"],
        ["empty JSON", JSON.parse("null")],
        ["a list", []],
        ["a record without a time", { queues: {} }],
        ["a record without queues", { at: 1 }],
        ["a queue that is not a list", { at: 1, queues: { q: { 0: 1, length: 3 } } }],
        ["a queue without points", { at: 1, queues: { q: [1, 0] } }],
        ["a point without a wait", { at: 1, queues: { q: [1, 0, 2] } }],
        ["a negative wait", { at: 1, queues: { q: [1, 0, 2, -3] } }],
        ["a wait that is no number", { at: 1, queues: { q: [1, 0, 2, "3"] } }],
        ["decreasing slacks", { at: 1, queues: { q: [1, 0, 5, 3, 4, 6] } }],
        ["accounts that are no names", { at: 1, queues: {}, beyond: [1] }],
    ];
    test.each(malformed)("that is %s is not decoded", (_name, value) => {
        expect(admission.decodeSummary(value)).toBeUndefined();
    });

    test("with random changes never throws, and is either refused or well-formed", () => {
        const source = random.createRandom(5);
        const text = JSON.stringify(admission.encodeSummary(createSummary(3, 2)));
        let decoded = 0;
        for (let run = 0; run < 2_000; run++) {
            const at = source.nextInt(text.length);
            const changed = text.slice(0, at) + source.pick(["", "null", "-", "9", "]", "{}", "\""])
                + text.slice(at + source.nextInt(3));
            let value: unknown;
            try {
                value = JSON.parse(changed);
            }
            catch {
                continue;
            }
            const summary = admission.decodeSummary(value);
            decoded += summary ? 1 : 0;
            for (const load of summary?.queues.values() ?? []) {
                expect(admission.getLongestWaitMs(load)).toBeGreaterThanOrEqual(0);
            }
        }
        expect(decoded).toBeGreaterThan(50);
    });
});
