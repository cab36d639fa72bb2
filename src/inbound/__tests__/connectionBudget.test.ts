import * as clocks from "../../clock/index";
import * as telemetry from "../../telemetry/index";
import * as connectionBudget from "../connectionBudget";
import * as limits from "../limits";
import * as fixtures from "./fixtures";

const LIMITS: limits.InboundLimits = {
    memoryBytes: 10_000,
    connections: { callers: 3, readiness: 1, peers: 1, watch: 1, metrics: 1 },
};
const OWN_BYTES = 100;

function createBudget() {
    const time = clocks.createManualClock();
    const metrics = telemetry.createMetrics();
    const budget = connectionBudget.createConnectionBudget({
        limits: LIMITS,
        clock: time,
        log: fixtures.SILENT_LOG,
        meter: metrics.meter,
    });
    const evicted: string[] = [];
    const open = (name: string, server: limits.ServerName = "callers", timeoutMs = Infinity) => {
        const connection = budget.open({
            server,
            ownBytes: OWN_BYTES,
            getTimeoutMs: () => timeoutMs,
            evict: reason => {
                evicted.push(`${name} ${reason}`);
                connection?.end();
            },
        });
        return connection;
    };
    return { time, metrics, budget, evicted, open };
}

type Phases = ReadonlyArray<readonly [phase: connectionBudget.Phase, ageMs: number]>;

describe("a budget of connections", () => {
    const victims: ReadonlyArray<readonly [name: string, phases: Phases, victim: string | undefined]> = [
        ["the one that has been idle for longest", [["idle", 5], ["idle", 9], ["idle", 1]], "1 connections"],
        [
            "one that has been receiving for long before idle ones",
            [["idle", 2_000], ["receiving", 1_500], ["idle", 5]],
            "1 connections",
        ],
        [
            "an idle one before one that has just begun to send",
            [["receiving", 5], ["idle", 9], ["receiving", 7]],
            "1 connections",
        ],
        ["one that sends ahead before idle ones", [["idle", 9], ["ahead", 1], ["idle", 5]], "1 connections"],
        [
            "one whose answer was not taken for long",
            [["receiving", 1_500], ["idle", 9], ["unread", 1_200]],
            "2 connections",
        ],
        ["none that is being served", [["serving", 5_000], ["serving", 9], ["serving", 1]], undefined],
    ];
    test.each(victims)("makes room for a connection by closing %s", async (_name, phases, victim) => {
        const { time, budget, evicted, open } = createBudget();
        const connections = phases.map((_, index) => open(String(index)));
        const byAge = phases.map(([phase, ageMs], index) => ({ phase, ageMs, index })).sort((a, b) =>
            b.ageMs - a.ageMs
        );
        for (const [position, { phase, ageMs, index }] of byAge.entries()) {
            // A phase that is set again keeps its age, so each connection passes through another one.
            connections[index]!.setPhase("closing");
            connections[index]!.setPhase(phase);
            await time.advance(ageMs - (byAge[position + 1]?.ageMs ?? 0));
        }
        const added = open("new");
        budget.close();
        expect(evicted).toEqual(victim === undefined ? [] : [victim]);
        expect(added === undefined).toBe(victim === undefined);
    });

    test("closes the connections that have held most for longest, and no idle ones", async () => {
        const { time, budget, evicted, open } = createBudget();
        const [young, old, idle] = ["young", "old", "idle"].map(name => open(name)!);
        idle!.setHeldBytes(2_000);
        old!.setPhase("receiving");
        old!.setHeldBytes(4_000);
        await time.advance(500);
        young!.setPhase("receiving");
        young!.setHeldBytes(6_000);
        expect(evicted).toEqual(["old memory"]);
        young!.setHeldBytes(9_000);
        budget.close();
        expect(evicted).toEqual(["old memory", "young memory"]);
    });

    // Guards against a leak of the account, by which an instance would refuse everyone in the end.
    test("holds nothing for connections that have ended, however they ended", () => {
        const { metrics, budget, evicted, open } = createBudget();
        for (let round = 0; round < 100; round++) {
            const connection = open("some")!;
            connection.setPhase("receiving");
            connection.setHeldBytes(round % 2 === 0 ? 20_000 : 5_000);
            connection.end();
            connection.setHeldBytes(9_000);
            connection.end();
        }
        expect(evicted).toHaveLength(50);
        expect(metrics.render()).toContain("plantainchute_inbound_held_bytes 0\n");
        expect(metrics.render()).toContain("plantainchute_inbound_connections{server=\"callers\"} 0\n");
        expect(budget.hasRoom()).toBe(true);
        budget.close();
    });

    test("closes connections that stay in a phase for too long", async () => {
        const { time, budget, evicted, open } = createBudget();
        open("brief", "callers", 3_000)!.setPhase("unread");
        open("patient", "callers", 60_000)!.setPhase("unread");
        await time.advance(5_000);
        budget.close();
        expect(evicted).toEqual(["brief timeout"]);
    });
});

describe("limits of inbound connections", () => {
    const machine: limits.MachineLimits = { memoryBytes: 350_000_000, descriptors: 4_100 };
    const cases: ReadonlyArray<readonly [name: string, overrides: limits.InboundOverrides, problems: number]> = [
        ["the derived ones", {}, 0],
        ["more connections of callers", { callerConnections: 800 }, 0],
        ["more connections than descriptors", { callerConnections: 4_000 }, 1],
        ["most of the memory", { memoryBytes: 300_000_000 }, 1],
    ];
    test.each(cases)("are checked against the machine: %s", (_name, overrides, problems) => {
        expect(limits.checkOverrides(machine, overrides)).toHaveLength(problems);
    });
});
