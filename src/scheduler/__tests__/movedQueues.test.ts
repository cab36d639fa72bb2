import type * as catalogs from "../../catalog/index";
import type * as work from "../../work/index";
import * as fixtures from "./fixtures";

const OLD = "booking";
const NEW = "booking-two";
const WORKERS = 4;
/** Time after which a version is applied: the first tasks of the jobs are at work. */
const CHANGED_AFTER_MS = 2_500;
const CHANGE_INTERVAL_MS = 500;
const SETTLED_MS = 30_000;

/** A configuration with these services, in which the queue `plan` has the given one, or is missing. */
function createCatalog(
    version: number,
    services: readonly string[],
    queue: Partial<catalogs.Queue> | undefined,
): catalogs.Catalog {
    const [plan] = fixtures.CATALOG.queues.filter(({ name }) => name === "plan");
    return {
        ...fixtures.CATALOG,
        version,
        queues: queue ? [{ ...plan!, ...queue }] : [],
        services: services.map(name => ({ name, refusesOverload: false, spare: false })),
    };
}

/** Opens a site of which the first half of the workers belongs to the old service. */
async function openSite(): Promise<fixtures.TestSite> {
    const site = fixtures.openSite({ workers: WORKERS, catalog: createCatalog(1, [OLD, NEW], { service: OLD }) });
    for (let number = WORKERS / 2; number < WORKERS; number++) {
        site.workers.restart(fixtures.createWorkerInfo(number).id, { service: NEW });
    }
    await site.clock.advance(1_000);
    return site;
}

interface Case {
    readonly name: string;
    readonly spec: Partial<work.JobSpec>;
    readonly versions: readonly catalogs.Catalog[];
    readonly tasks: number;
    /** Service of the workers on which the tasks that begin after the change run. */
    readonly service: string;
}

const scheduled = (firstDueAt: number): Partial<work.JobSpec> => ({ repeats: 5, firstDueAt, periodMs: 4_000 });
const chain: Partial<work.JobSpec> = {
    steps: [fixtures.createStep(), ...[0, 1, 2].map(number => fixtures.createStep({ after: [number] }))],
};

// Guards against accepted jobs that are never finished: a job kept the service that its queue had at the submission, and
// the workers of a service that is not configured are not used.
const cases: readonly Case[] = [
    {
        name: "a scheduled job follows its queue to another service",
        spec: scheduled(1_001_500),
        versions: [createCatalog(2, [NEW], { service: NEW })],
        tasks: 5,
        service: NEW,
    },
    {
        name: "the later steps of a job follow its queue to another service",
        spec: chain,
        versions: [createCatalog(2, [NEW], { service: NEW })],
        tasks: 4,
        service: NEW,
    },
    {
        name: "the later steps of a job follow its queue although the old service is still configured",
        spec: chain,
        versions: [createCatalog(2, [OLD, NEW], { service: NEW })],
        tasks: 4,
        service: NEW,
    },
    {
        name: "a scheduled job whose queue was removed stays in its service",
        spec: scheduled(1_001_500),
        versions: [createCatalog(2, [OLD, NEW], undefined)],
        tasks: 5,
        service: OLD,
    },
    {
        name: "a scheduled job whose queue and service were removed stays in its service",
        spec: scheduled(1_001_500),
        versions: [createCatalog(2, [NEW], undefined)],
        tasks: 5,
        service: OLD,
    },
    {
        name: "a scheduled job follows its queue to another service and stays there when the queue is removed",
        spec: scheduled(1_001_500),
        versions: [createCatalog(2, [NEW], { service: NEW }), createCatalog(3, [NEW], undefined)],
        tasks: 5,
        service: NEW,
    },
];

describe.each([
    { name: "under the same leader", replacesLeader: false },
    { name: "under the next leader", replacesLeader: true },
])("after a change of the configuration, $name", ({ replacesLeader }) => {
    test.each(cases)("$name", async ({ spec, versions, tasks, service }) => {
        const site = await openSite();
        const job = fixtures.createJob(1);
        const all = { ...job.spec, ...spec };
        const submitted = { ...job, spec: all, durationsMs: all.steps.map(step => step.estimateMs) };
        await fixtures.advanceUntilSettled(site.clock, site.submit(submitted, 1));
        await site.clock.advance(CHANGED_AFTER_MS);
        const begun = site.workers.starts.length;
        expect(begun).toBeGreaterThan(0);
        for (const version of versions) {
            site.applyCatalog(version);
            await site.clock.advance(CHANGE_INTERVAL_MS);
        }
        if (replacesLeader) {
            const leader = site.getLeader()!;
            site.kill(leader);
            site.restart(leader);
        }
        await site.clock.advance(SETTLED_MS);
        site.close();
        expect(site.workers.violations).toEqual([]);
        expect(site.workers.completionCounts.size).toBe(tasks);
        const later = site.workers.starts.slice(begun).map(start => site.workers.getInfo(start.workerId).service);
        expect(later).toEqual(new Array(tasks - begun).fill(service));
    });
});
