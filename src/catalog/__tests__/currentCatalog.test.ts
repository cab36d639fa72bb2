import * as catalogs from "../index";

function createQueue(name: string, host: string, pathPrefix: string): catalogs.Queue {
    return {
        name,
        host,
        pathPrefix,
        service: "s",
        priority: 0,
        maxAttempts: 1,
        stretch: 1,
        objectiveMs: 0,
        needsKey: true,
    };
}

function createCatalog(version: number, keys: readonly string[]): catalogs.Catalog {
    return {
        version,
        queues: [createQueue("short", "h", "/a/"), createQueue("long", "h", "/a/b/"), createQueue("other", "i", "/a/")],
        services: [],
        accounts: [{ name: "account", keys, guaranteedAccelerators: 0 }],
        limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    };
}

describe("catalog in force", () => {
    const cases: ReadonlyArray<readonly [host: string, path: string, queue: string | undefined, rest: string]> = [
        ["h", "/a/x", "short", "x"],
        ["h", "/a/b/x", "long", "x"],
        ["h", "/a/b", "short", "b"],
        ["i", "/a/b/x", "other", "b/x"],
        ["j", "/a/x", undefined, ""],
        ["h", "/b/x", undefined, ""],
    ];
    test.each(cases)("%s%s goes to %s", (host, path, queue, rest) => {
        const current = catalogs.createCurrentCatalog();
        current.applyIfNewer(createCatalog(1, []));
        const found = current.findQueue(host, path);
        expect(found?.queue.name).toBe(queue);
        expect(found?.rest ?? "").toBe(rest);
    });

    test("an older or equal version is not put in force", () => {
        // Guards against a revoked key that works again: after a gap in the change feed the table is read again from a
        // stale replica, and the latest read wins.
        const current = catalogs.createCurrentCatalog();
        expect(current.applyIfNewer(createCatalog(5, ["new"]))).toBe(true);
        expect(current.applyIfNewer(createCatalog(4, ["old"]))).toBe(false);
        expect(current.applyIfNewer(createCatalog(5, ["old"]))).toBe(false);
        expect(current.getAccountByKey("old")).toBeUndefined();
        expect(current.getAccountByKey("new")?.name).toBe("account");
    });
});
