import * as work from "../../work/index";
import * as unevenSite from "./unevenSite";

const GANG_SIZE = 3;

test("an urgent gang starts on fast workers once their speeds are measured", async () => {
    // Guards against gangs that are late only because one member is on a worker that is slow by nature.
    const site = await unevenSite.openUnevenSite();
    const workers = await unevenSite.startUrgentGang(site, 20, GANG_SIZE);
    expect(workers).toHaveLength(GANG_SIZE);
    expect(workers.filter(unevenSite.isSlow)).toEqual([]);
    const choice = site.lines.find(line => line["event"] === "speedChoice");
    expect(choice).toMatchObject({ outcome: "placed", unit: expect.stringContaining(".0.0.0") });
    expect(choice!["oldestRateMs"]).toBeLessThan(30_000);
    site.close();
});

test("the successor of a leader that is lost continues with the stored speeds", async () => {
    // Guards against a successor that measures anew: terms of a few seconds would never know a speed.
    const site = await unevenSite.openUnevenSite();
    site.kill(site.getLeader()!);
    await site.clock.advance(10_000);
    const restored = site.lines.filter(line => line["event"] === "learnedStateRead").at(-1);
    expect(restored!["restored"]).toContain("speeds");
    const workers = await unevenSite.startUrgentGang(site, 20, GANG_SIZE);
    expect(workers).toHaveLength(GANG_SIZE);
    expect(workers.filter(unevenSite.isSlow)).toEqual([]);
    site.close();
});

test("a successor that finds speeds of another format starts gangs, and measures anew", async () => {
    // Guards against a takeover that fails because another build stored the speeds in a format of its own.
    const site = await unevenSite.openUnevenSite();
    site.kill(site.getLeader()!);
    const key = { table: work.Table.Learned, part: work.LEADER_PART, key: "speeds" };
    site.store.put({ ...key, value: JSON.stringify({ at: 0, text: "{\"format\":2}" }) });
    await site.clock.advance(10_000);
    expect(site.lines.some(line => line["event"] === "learnedStateUnusable" && line["section"] === "speeds")).toBe(
        true,
    );
    expect(await unevenSite.startUrgentGang(site, 20, GANG_SIZE)).toHaveLength(GANG_SIZE);
    site.close();
});
