// Guards against a documented metric that no instance serves: it was renamed, or its last use was removed, and the page
// for operators, METRICS and the code were not changed together.
import * as fs from "node:fs";
import * as net from "node:net";
import * as path from "node:path";
import * as clocks from "../../clock/index";
import * as inbounds from "../../inbound/index";
import * as observe from "../../observe/index";
import * as relay from "../../relay/index";
import * as telemetry from "../../telemetry/index";
import * as fixtures from "./fixtures";
import * as unevenSite from "./unevenSite";

const WHOLE_MEMORY = { cpuMillis: 1_000, memoryMb: 65_536, accelerators: 1 };
const NAMES = Object.keys(observe.METRICS) as observe.MetricName[];

/** The metrics of a site whose workers are not equally fast, and on which an urgent gang has been placed by that. */
async function runUnevenSite(): Promise<string> {
    const site = await unevenSite.openUnevenSite();
    await unevenSite.startUrgentGang(site, 20, 3);
    const text = site.metrics.render();
    site.close();
    return text;
}

/** Runs a site through everything that is counted, and returns its metrics as text. */
async function runSiteWithFailures(): Promise<string> {
    const long = { estimateMs: 20_000, needs: WHOLE_MEMORY };
    const failing = fixtures.createJob(1, { estimateMs: 500 }, { fails: () => true });
    const serving = { ...fixtures.createStep({ lasting: true, targetMs: 100 }), image: "serves" };
    const filling = fixtures.createStep({ fills: true, estimateMs: 60_000 });
    const site = await fixtures.openSiteWithJobs({ workers: 2, evacuations: () => ({ evacuationMs: 5_000 }) }, [
        failing,
        fixtures.createJob(2, {}, {
            spec: { payload: "", steps: [serving, serving], repeats: 0, firstDueAt: 0, periodMs: 0 },
            durationsMs: [0, 0],
        }),
        fixtures.createJob(3, {}, {
            spec: { payload: "", steps: [filling, filling], repeats: 0, firstDueAt: 0, periodMs: 0 },
            durationsMs: [60_000, 60_000],
        }),
        fixtures.createJob(4, long, { queue: "batch" }),
        fixtures.createJob(5, long, { queue: "batch" }),
        fixtures.createJob(7, { gang: true, count: 3, needs: { ...WHOLE_MEMORY, memoryMb: 30_000 } }),
    ]);
    site.workers.add({ ...fixtures.createWorkerInfo(9), service: "nobody's" });
    await site.clock.advance(4_000);
    const urgent = fixtures.createJob(6, { estimateMs: 1_000, needs: WHOLE_MEMORY }, { queue: "urgent" });
    await fixtures.advanceUntilSettled(site.clock, site.submit(urgent, 1));
    await fixtures.advanceUntilSettled(site.clock, site.submit(fixtures.createJob(8, { count: 100_000 }), 1));
    await site.clock.advance(4_000);
    site.kill(site.getLeader()!);
    await site.clock.advance(10_000);
    site.workers.kill("worker-1", false);
    await site.clock.advance(10_000);
    const log = telemetry.createLineLog({
        clock: site.clock,
        instance: "a",
        meter: site.metrics.meter,
        output: { write: () => true, writableLength: 0 },
    });
    for (let line = 0; line < 2_000; line++) {
        log.info("line");
    }
    const forwarding = relay.createRelay({
        isConfigurationFresh: () => true,
        clock: site.clock,
        log,
        meter: site.metrics.meter,
        getConfigurationVersion: () => 1,
        isStoreUnreachable: () => true,
        ownAddress: "",
        getPeers: () => ["peer"],
        send: async () => ({ kind: "unreachable", message: "" }),
    });
    const request = {
        method: "GET",
        path: "",
        host: "",
        authorization: "",
        requestId: "",
        deadlineMs: 1_000,
        body: "",
    };
    await forwarding.answer(request, async () => ({ status: 503 }));
    const submissions = relay.createUndecidedSubmissions({ clock: site.clock, log, meter: site.metrics.meter });
    for (const status of [504, 503]) {
        await submissions.serve({ ...request, method: "POST" }, async () => ({ status }));
    }
    const text = site.metrics.render();
    site.close();
    return text;
}

/** Runs a site on which three workers with work leave at once, and returns its metrics as text. */
async function runSiteWithDepartures(): Promise<string> {
    const site = await fixtures.openSiteWithJobs({ workers: 4 }, [
        fixtures.createJob(1, { count: 4, estimateMs: 20_000, needs: WHOLE_MEMORY }),
    ]);
    await site.clock.advance(1_000);
    const leaving = ["worker-0", "worker-1", "worker-2"];
    leaving.forEach(id => site.workers.drain(id, 2_000));
    await site.clock.advance(2_000);
    leaving.forEach(id => site.leaveWorker(id, 4_000));
    await site.clock.advance(3_000);
    const text = site.metrics.render();
    site.close();
    return text;
}

/** Runs a site on which the start of a task is deferred for urgent work, and returns its metrics as text. */
async function runSiteWithDeferral(): Promise<string> {
    const site = await fixtures.openSiteWithUrgentWaves();
    await fixtures.advanceUntilSettled(site.clock, site.submit(fixtures.createJob(1, { estimateMs: 4_000 }), 1));
    await site.clock.advance(1_000);
    site.close();
    return site.metrics.render();
}

/** Runs a site whose queues need an adviser, which is away, and returns its metrics as text. */
async function runSiteWithoutAdviser(): Promise<string> {
    const advice = { decideMs: 20, eachMs: 1, validMs: 3_000 };
    const queues = fixtures.CATALOG.queues.map(queue => ({ ...queue, advice }));
    const site = await fixtures.openSiteWithJobs({ catalog: { ...fixtures.CATALOG, queues } }, [fixtures.createJob(1)]);
    await site.clock.advance(1_000);
    site.close();
    return site.metrics.render();
}

/** Opens a server on which one client takes another's connection and is rejected, and returns its metrics as text. */
async function runFullServer(): Promise<string> {
    const metrics = telemetry.createMetrics();
    const log = { info: () => undefined, warn: () => undefined, error: () => undefined };
    const limits = inbounds.deriveInboundLimits({ memoryBytes: 1_000_000, descriptors: 0 }, { callerConnections: 1 });
    const inbound = inbounds.createInbound({ limits, clock: clocks.createSystemClock(), log, meter: metrics.meter });
    const server = inbound.createHttpServer({ name: "callers" }, () => undefined);
    const port = await inbound.listen("callers", server, "127.0.0.1:0");
    const idle = net.connect(port, "127.0.0.1");
    await new Promise(resolve => idle.once("connect", resolve));
    const rejected = net.connect(port, "127.0.0.1");
    rejected.write("GET / HTTP/1.1\r\n\r\n");
    await new Promise(resolve => rejected.once("data", resolve));
    const text = metrics.render();
    idle.destroy();
    rejected.destroy();
    server.close();
    server.closeAllConnections();
    inbound.close();
    return text;
}

describe("metrics", () => {
    let served: string;

    beforeAll(async () => {
        const sites = [
            await runSiteWithFailures(),
            await runUnevenSite(),
            await runSiteWithDepartures(),
            await runSiteWithDeferral(),
            await runSiteWithoutAdviser(),
            await runFullServer(),
        ];
        served = sites.join("\n");
    });

    test.each(NAMES)("%s has a value under its labels after failures of all kinds", name => {
        const { kind, labels } = observe.METRICS[name];
        const suffix = kind === "histogram" ? "_count" : "";
        const pattern = labels.map(label => `${label}="[^"]*"`).join(",");
        expect(served).toMatch(
            new RegExp(`^plantainchute_${name}${suffix}${labels.length > 0 ? `\\{${pattern}\\}` : ""} -?[0-9.]+$`, "m"),
        );
    });

    test("the page for operators names all of them, and no other", () => {
        const page = fs.readFileSync(path.join(__dirname, "../../../docs/OPERATIONS.md"), "utf8");
        const rows = page.split("\n").filter(line => line.startsWith("| `plantainchute_"));
        const documented = rows.map(row => {
            const [name, kind, labels] = row.split("|").slice(1).map(cell => cell.trim().replace(/`/g, ""));
            return {
                name: name!.replace("plantainchute_", ""),
                kind,
                labels: labels === "" ? [] : labels!.split(", "),
            };
        });
        const specs = NAMES.map(name => ({
            name,
            kind: observe.METRICS[name].kind,
            labels: observe.METRICS[name].labels,
        }));
        expect(documented).toEqual(specs);
    });
});
