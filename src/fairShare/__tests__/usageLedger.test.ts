import * as fairShare from "../index";

const CAPACITY = { accelerators: 100, cpuMillis: 1_000_000, memoryMb: 1_000_000 };
const MAX_BYTES = 32_768;

/** A sample in which each account holds so many accelerators, with equal weights. */
function createSample(accelerators: Readonly<Record<string, number>>): ReadonlyMap<string, fairShare.ServiceSample> {
    const accounts = Object.entries(accelerators);
    return new Map([["s", {
        capacity: CAPACITY,
        heldByAccount: new Map(
            accounts.map(([account, held]) => [account, { accelerators: held, cpuMillis: 0, memoryMb: 0 }]),
        ),
        weightByAccount: new Map(accounts.map(([account]) => [account, 1])),
    }]]);
}

describe("the usage of an account", () => {
    test("starts at what it holds now, without a stored row", () => {
        const ledger = fairShare.createUsageLedger();
        ledger.record(createSample({ a: 30, b: 10 }), 1_000);
        expect(ledger.getUsage("s").get("a")).toBeCloseTo(1.5);
        expect(ledger.getUsage("s").get("b")).toBeCloseTo(0.5);
    });

    test("has a half-life of 30 s, at any interval of the samples", () => {
        const [rare, frequent] = [fairShare.createUsageLedger(), fairShare.createUsageLedger()];
        rare.record(createSample({ a: 40, b: 0 }), 0);
        frequent.record(createSample({ a: 40, b: 0 }), 0);
        rare.record(createSample({ a: 0, b: 40 }), 30_000);
        for (let now = 250; now <= 30_000; now += 250) {
            frequent.record(createSample({ a: 0, b: 40 }), now);
        }
        expect(rare.getUsage("s").get("a")).toBeCloseTo(1);
        expect(frequent.getUsage("s").get("a")).toBeCloseTo(1);
    });

    test("is relative to the accounts that have work: the share of an idle account is used by others", () => {
        const ledger = fairShare.createUsageLedger();
        ledger.record(createSample({ a: 30, b: 30, idle: 40 }), 0);
        const [[service, sample]] = [...createSample({ a: 30, b: 30 })] as [[string, fairShare.ServiceSample]];
        ledger.record(new Map([[service, sample]]), 1);
        expect(ledger.getUsage("s").get("a")).toBeCloseTo(1);
        expect(ledger.getUsage("s").has("idle")).toBe(false);
    });

    test("is 0 while no account holds anything, and there is none of an unknown service", () => {
        const ledger = fairShare.createUsageLedger();
        ledger.record(createSample({ a: 0, b: 0 }), 0);
        expect([...ledger.getUsage("s").values()]).toEqual([0, 0]);
        expect(ledger.getUsage("other").size).toBe(0);
    });
});

test("the dominant share is the largest of the shares of a service", () => {
    expect(fairShare.getDominantShare({ accelerators: 10, cpuMillis: 200_000, memoryMb: 0 }, CAPACITY)).toBeCloseTo(
        0.2,
    );
    expect(
        fairShare.getDominantShare({ accelerators: 10, cpuMillis: 0, memoryMb: 0 }, { ...CAPACITY, accelerators: 0 }),
    )
        .toBe(0);
});

test.each([
    ["guaranteed accelerators", { configured: true, guaranteedAccelerators: 24 }, 24],
    ["an even part of the remainder", { configured: true, guaranteedAccelerators: 0 }, 10],
    ["the least weight once it is not configured", { configured: false, guaranteedAccelerators: 0 }, 1],
])("the weight of an account is %s", (_name, account, weight) => {
    expect(fairShare.getWeight({ ...account, remainingAccelerators: 40, accountsWithoutGuarantee: 4 })).toBe(weight);
});

// Guards against a division by 0, and against accounts that are never served.
test("a weight is never 0", () => {
    const weight = fairShare.getWeight({
        configured: true,
        guaranteedAccelerators: 0,
        remainingAccelerators: 0,
        accountsWithoutGuarantee: 9,
    });
    expect(weight).toBe(1);
});

describe("a successor", () => {
    test("continues with the stored usage, decayed by its age", () => {
        const predecessor = fairShare.createUsageLedger();
        predecessor.record(createSample({ a: 40, b: 0 }), 0);
        const successor = fairShare.createUsageLedger();
        successor.restore(predecessor.encode(MAX_BYTES)!, 100_000 - 30_000);
        successor.record(createSample({ a: 0, b: 40 }), 100_000);
        expect(successor.getUsage("s").get("a")).toBeCloseTo(1);
    });

    test.each(["{}", "[[\"s\",\"a\",\"1\"]]", "[[\"s\",\"a\",7]]", "[[1,2,3]]", "x"])(
        "refuses the stored text %s and starts at what runs now",
        text => {
            const ledger = fairShare.createUsageLedger();
            expect(() => ledger.restore(text, 0)).toThrow();
            ledger.record(createSample({ a: 10, b: 30 }), 60_000);
            expect(ledger.getUsage("s").get("b")).toBeCloseTo(1.5);
        },
    );
});

describe("the stored text", () => {
    const fill = (accounts: number) => {
        const ledger = fairShare.createUsageLedger();
        const held = Array.from(
            { length: accounts },
            (_, index) => [`account-of-team-${index}`, (1 + index) / 20] as const,
        );
        ledger.record(createSample(Object.fromEntries(held)), 0);
        return ledger;
    };

    test("of 200 accounts takes about 8 kB", () => {
        const text = fill(200).encode(MAX_BYTES)!;
        expect(JSON.parse(text)).toHaveLength(200);
        expect(text.length).toBeLessThan(8_500);
    });

    // Guards against a row that grows with the names that an account has had.
    test("keeps within 16 kB, with the accounts of the most usage", () => {
        const text = fill(2_000).encode(MAX_BYTES)!;
        expect(Buffer.byteLength(text)).toBeLessThanOrEqual(16_000);
        expect(text).toContain("account-of-team-1999");
        expect(text).not.toContain("\"account-of-team-1\"");
    });

    test("omits accounts that have not held anything for minutes", () => {
        const ledger = fill(3);
        ledger.record(new Map([["s", { ...createSample({}).get("s")! }]]), 600_000);
        expect(ledger.encode(MAX_BYTES)).toBeUndefined();
    });
});
