/**
 * Contract tests of the platform's services, run against the embedded stand-in and through the HTTP client and server.
 */
import * as platform from "../../../src/backing/index";
import * as clock from "../../../src/clock/index";
import * as random from "../../../src/random/index";
import * as standin from "../index";

interface Subject {
    readonly services: platform.Platform;
    readonly embedded: standin.EmbeddedPlatform;
    readonly close: () => Promise<void>;
}

function createEmbedded(): standin.EmbeddedPlatform {
    return standin.createEmbeddedPlatform({
        clock: clock.createSystemClock(),
        rng: random.createRandom(1),
        lagMs: 0,
        expiryMs: 60_000,
    });
}

const subjects: ReadonlyArray<{ name: string; create: () => Promise<Subject>; }> = [
    {
        name: "embedded",
        create: async () => {
            const embedded = createEmbedded();
            return { services: embedded, embedded, close: async () => undefined };
        },
    },
    {
        name: "over HTTP",
        create: async () => {
            const embedded = createEmbedded();
            const server = await standin.startPlatformServer("127.0.0.1", 0, embedded);
            const client = platform.createHttpPlatform({
                origin: `http://127.0.0.1:${server.port}`,
                timeoutMs: 500,
                connections: 2,
            });
            return {
                services: client,
                embedded,
                close: async () => {
                    await client.close();
                    await server.close();
                },
            };
        },
    },
];

describe.each(subjects)("$name", ({ create }) => {
    let subject: Subject;
    beforeEach(async () => {
        subject = await create();
    });
    afterEach(() => subject.close());

    const put = (key: string, value: string | undefined, expectedVersion: number) =>
        subject.services.table.transact([{ key, value, expectedVersion }]);

    test("a write takes effect only if the row has the expected version, and versions only increase", async () => {
        const first = await put("a", "1", 0);
        expect(first.kind).toBe("committed");
        expect(await put("a", "2", 0)).toEqual({ kind: "conflict" });
        const version = platform.isCommitted(first) ? first.versions[0]! : 0;
        expect(await put("a", undefined, version)).toEqual({ kind: "committed", versions: [0] });
        const again = await put("a", "3", 0);
        expect(platform.isCommitted(again) && again.versions[0]! > version).toBe(true);
    });

    test("a transaction writes all rows or none", async () => {
        await put("b", "1", 0);
        const written = await subject.services.table.transact([
            { key: "c", value: "1", expectedVersion: 0 },
            { key: "b", value: "2", expectedVersion: 0 },
        ]);
        expect(written).toEqual({ kind: "conflict" });
        expect(await subject.services.table.get(["c", "b"])).toMatchObject({
            kind: "read",
            value: [undefined, { value: "1" }],
        });
    });

    test("a scan returns the rows of a prefix in order, page by page", async () => {
        for (const key of ["q/3", "q/1", "r/1", "q/2", "p/9"]) {
            await put(key, key, 0);
        }
        const firstPage = await subject.services.table.scan("q/", "", 2);
        expect(firstPage.kind === "read" && firstPage.value.map(row => row.key)).toEqual(["q/1", "q/2"]);
        const secondPage = await subject.services.table.scan("q/", "q/2", 2);
        expect(secondPage.kind === "read" && secondPage.value.map(row => row.key)).toEqual(["q/3"]);
    });

    test("an object is read as it was written", async () => {
        expect(await subject.services.objects.put("result/x.1", Buffer.from([0, 255, 10]))).toBe(true);
        const found = await subject.services.objects.get("result/x.1");
        expect(found.kind === "found" && [...found.body]).toEqual([0, 255, 10]);
        expect(await subject.services.objects.get("absent")).toEqual({ kind: "absent" });
    });

    test("the membership list contains announced instances", async () => {
        const entry = { id: "i1", zone: "z", peerAddress: "127.0.0.1:1", state: "leaving" } as const;
        expect(await subject.services.membership.announce(entry)).toBe(true);
        expect(await subject.services.membership.list()).toEqual({ instances: [entry], workers: [] });
    });

    test.each([
        { name: "reads", call: () => subject.services.table.get(["a"]), seen: { kind: "unavailable" } },
        { name: "scans", call: () => subject.services.table.scan("", "", 1), seen: { kind: "unavailable" } },
        { name: "objects", call: () => subject.services.objects.get("a"), seen: { kind: "unavailable" } },
    ])("while the platform is down, $name report it as unavailable", async ({ call, seen }) => {
        subject.embedded.setFaults({ down: true });
        expect(await call()).toMatchObject(seen);
        expect(await subject.services.membership.list()).toBeUndefined();
        expect(await subject.services.objects.put("a", Buffer.from("x"))).toBe(false);
    });

    test("a write whose response is lost is reported as unknown, although it took effect", async () => {
        // The write is executed and the connection breaks before the response. If a missing response counted as a
        // failed write, a job would be reported as "not run" although it runs.
        subject.embedded.setFaults({ loseAnswers: 1 });
        expect((await put("lost", "1", 0)).kind).toBe("unknown");
        expect(await subject.services.table.get(["lost"])).toMatchObject({ value: [{ value: "1" }] });
    });
});

test("a write to a service that refuses the connection is reported as not executed", async () => {
    const client = platform.createHttpPlatform({ origin: "http://127.0.0.1:1", timeoutMs: 500, connections: 1 });
    const written = await client.table.transact([{ key: "a", value: "1", expectedVersion: 0 }]);
    expect(written.kind).toBe("unavailable");
    await client.close();
});
