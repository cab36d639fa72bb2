/**
 * End-to-end tests over real TCP in one process: requests of callers and operators, also while instances stop or die.
 */
import * as undici from "undici";
import * as load from "../../../src/load/index";
import * as result from "../../../src/result/index";
import * as worker from "../../worker/index";
import * as site from "../index";

const READY_MS = 20_000;
const { alpha, beta, expired } = site.ACCOUNT_KEYS;

let embedded: site.EmbeddedSite;
const clients: load.CallersClient[] = [];

function createClient(index: number): load.CallersClient {
    const client = load.createCallersClient(
        () => embedded.instances[index % embedded.instances.length]!.callersOrigin,
        8,
    );
    clients.push(client);
    return client;
}

function createSubmission(requestId: string, runMs: number, extra: Readonly<Record<string, unknown>> = {}) {
    return {
        requestId,
        class: "batch",
        accelerators: 1,
        payload: JSON.stringify({ runMs, mark: requestId }),
        ...extra,
    };
}

/** This is below the timeout of a test: a loop that outlives its test would keep the test runner from exiting. */
const CONDITION_TIMEOUT_MS = 25_000;

async function waitUntilTrue(condition: () => boolean): Promise<void> {
    const pauseMs = 10;
    for (let waitedMs = 0; !condition(); waitedMs += pauseMs) {
        if (waitedMs >= CONDITION_TIMEOUT_MS) {
            throw new Error("the condition was not met in time");
        }
        await new Promise(resolve => setTimeout(resolve, pauseMs));
    }
}

function getStarts(mark: string): worker.JournalEntry[] {
    return embedded.journal.getEntries().filter(entry => worker.readPayload(entry.payload).mark === mark);
}

function isRunning(mark: string): boolean {
    return getStarts(mark).some(entry => entry.ended === undefined);
}

async function callOperatorApi(
    index: number,
    method: "GET" | "POST" | "PUT",
    path: string,
    body?: unknown,
    key = site.OPERATOR_KEY,
) {
    const res = await undici.request(embedded.instances[index]!.operatorsOrigin + path, {
        method,
        headers: { "authorization": `Bearer ${key}`, "content-type": "application/json" },
        body: body === undefined ? undefined : JSON.stringify(body),
    });
    return { status: res.statusCode, body: await res.body.json() as Record<string, unknown> };
}

beforeAll(async () => {
    embedded = await site.startEmbeddedSite({
        site: site.createSmallSite(),
        instances: 3,
        seed: 1,
        logLevel: "silent",
        settings: { shutdown: { noticeMs: 500, drainMs: 5000 }, site: { pollMs: 300, leadMs: 600 } },
    });
    expect(await embedded.waitUntilReady(READY_MS)).toBe(true);
}, READY_MS + 10_000);

afterAll(async () => {
    await Promise.all(clients.map(client => client.close()));
    await embedded.stop();
});

describe("callers", () => {
    test("a job submitted to one instance can be read, fetched and submitted again at others", async () => {
        const body = createSubmission("job-1", 100);
        expect(await createClient(0).submit(alpha, body, 0)).toMatchObject({ kind: "job" });
        expect(await createClient(1).get(alpha, "job-1", 10_000)).toMatchObject({ kind: "job", state: "done" });
        const fetched = await createClient(2).getResult(alpha, "job-1");
        expect(fetched.kind === "done" && JSON.parse(Buffer.from(fetched.body).toString())).toEqual({ mark: "job-1" });
        expect(await createClient(2).submit(alpha, body, 0)).toMatchObject({ kind: "job", state: "done" });
        expect(getStarts("job-1")).toHaveLength(1);
    });

    test("a request id that is reused for another job is refused", async () => {
        await createClient(0).submit(alpha, createSubmission("job-2", 10), 10_000);
        const again = await createClient(1).submit(alpha, createSubmission("job-2", 11), 0);
        expect(again).toMatchObject({ kind: "refused", code: result.ResultCode.ConflictingReuse, ran: "no" });
    });

    test("a waiting job is cancelled as not run, and a repeated cancellation changes nothing", async () => {
        const body = createSubmission("job-3", 60_000, { accelerators: 8, adjacency: "worker" });
        const fillers = Array.from({ length: 6 }, (_, index) => `filler-${index}`);
        for (const id of fillers) {
            await createClient(0).submit(
                alpha,
                createSubmission(id, 60_000, { accelerators: 8, adjacency: "worker" }),
                0,
            );
        }
        // A filler that runs longer than predicted may be preempted for one that waits, and restarts on another worker.
        // Once all of them run at the same time, none waits and none is preempted any more, and no worker is free.
        await waitUntilTrue(() => fillers.every(isRunning));
        await createClient(0).submit(alpha, body, 0);
        expect(await createClient(1).cancel(alpha, "job-3")).toMatchObject({
            state: "notRun",
            code: result.ResultCode.Cancelled,
        });
        expect(await createClient(2).cancel(alpha, "job-3")).toMatchObject({ state: "notRun" });
        expect(getStarts("job-3")).toHaveLength(0);
        for (const [index, id] of fillers.entries()) {
            expect(await createClient(index).cancel(alpha, id)).toMatchObject({
                state: "failed",
                code: result.ResultCode.Cancelled,
            });
        }
    });

    test("a gang of two workers runs completely and once", async () => {
        const body = createSubmission("gang-1", 200, { accelerators: 16, adjacency: "rack" });
        expect(await createClient(0).submit(alpha, body, 15_000)).toMatchObject({ kind: "job", state: "done" });
        expect(getStarts("gang-1").map(entry => entry.accelerators)).toEqual([8, 8]);
    });

    test.each([
        {
            name: "more accelerators than a zone has",
            body: createSubmission("x1", 1, { accelerators: 100, adjacency: "rack" }),
            code: result.ResultCode.CanNeverRun,
        },
        {
            name: "unknown field",
            body: createSubmission("x2", 1, { colour: "red" }),
            code: result.ResultCode.BadRequest,
        },
        {
            name: "unknown class",
            body: createSubmission("x3", 1, { class: "fast" }),
            code: result.ResultCode.BadRequest,
        },
        {
            name: "too many accelerators",
            body: createSubmission("x4", 1, { accelerators: 129 }),
            code: result.ResultCode.BadRequest,
        },
        {
            name: "interactive with accelerators",
            body: createSubmission("x5", 1, { class: "interactive" }),
            code: result.ResultCode.BadRequest,
        },
        {
            name: "body too large",
            body: createSubmission("x6", 1, { payload: "x".repeat(70_000) }),
            code: result.ResultCode.BodyTooLarge,
        },
        { name: "request id with a slash", body: createSubmission("a/b", 1), code: result.ResultCode.BadRequest },
    ])("refused as not run: $name", async ({ body, code }) => {
        expect(await createClient(0).submit(alpha, body, 0)).toMatchObject({ kind: "refused", code, ran: "no" });
    });

    test.each([
        { name: "no key", key: "" },
        { name: "unknown key", key: "nobody" },
        { name: "expired key", key: expired },
        { name: "operator's key", key: site.OPERATOR_KEY },
    ])("refused without a valid key: $name", async ({ key }) => {
        expect(await createClient(0).submit(key, createSubmission("y", 1), 0)).toMatchObject({
            code: result.ResultCode.Unauthorized,
        });
        expect(await createClient(0).get(key, "job-1", 0)).toMatchObject({ code: result.ResultCode.Unauthorized });
    });

    test("an account can neither read nor cancel nor fetch another account's job", async () => {
        const client = createClient(0);
        await client.submit(alpha, createSubmission("secret", 10), 10_000);
        for (
            const call of [
                client.get(beta, "secret", 0),
                client.cancel(beta, "secret"),
                client.getResult(beta, "secret"),
            ]
        ) {
            expect(await call).toMatchObject({ kind: "refused", code: result.ResultCode.NotFound });
        }
    });

    test("an at-most-once request sent to three instances at once runs once, and all return its answer", async () => {
        // The caller's connection breaks, and it repeats the request at other instances while the first is in progress.
        // If each instance dispatched what it receives, a confirmation would run twice.
        const body = {
            requestId: "once-1",
            class: "interactive",
            repeatable: false,
            payload: JSON.stringify({ runMs: 200, mark: "once-1" }),
        };
        const answers = await Promise.all([0, 1, 2].map(index => createClient(index).submit(alpha, body, 0)));
        for (const answer of answers) {
            expect(answer.kind === "done" && JSON.parse(Buffer.from(answer.body).toString())).toEqual({
                mark: "once-1",
            });
        }
        expect(getStarts("once-1")).toHaveLength(1);
    });
});

describe("operators", () => {
    test.each([
        { name: "no key", key: "" },
        { name: "account's key", key: alpha },
    ])("refused: $name", async ({ key }) => {
        expect(await callOperatorApi(0, "GET", "/v1/status", undefined, key)).toMatchObject({ status: 401 });
    });

    test("of two concurrent changes to a revision one succeeds and the other gets a conflict", async () => {
        const { revision } = (await callOperatorApi(0, "GET", "/v1/status")).body as { revision: number; };
        const answers = await Promise.all(
            ["peak", "ordinary"].map((preset, index) =>
                callOperatorApi(index, "POST", "/v1/preset", {
                    preset,
                    operationId: `race-${index}`,
                    expectedRevision: revision,
                })
            ),
        );
        expect(answers.map(answer => answer.status).sort()).toEqual([200, 409]);
        const loser = answers.find(answer => answer.status === 409)!;
        expect(loser.body).toMatchObject({ code: result.ResultCode.ConfigurationConflict, ran: "no" });
    });

    test("a change repeated under its operation id is applied once, and takes effect on all instances", async () => {
        const before = (await callOperatorApi(0, "GET", "/v1/status")).body as { newestRevision: number; };
        const req = { preset: "peak", operationId: "repeated", expectedRevision: before.newestRevision };
        const first = await callOperatorApi(0, "POST", "/v1/preset", req);
        const second = await callOperatorApi(1, "POST", "/v1/preset", req);
        expect(second.body).toEqual(first.body);
        const wanted = first.body["revision"];
        await waitUntil(async () => {
            const seen = await Promise.all([0, 1, 2].map(index => callOperatorApi(index, "GET", "/v1/status")));
            return seen.every(status => status.body["revision"] === wanted);
        });
    });

    // Guards against new work on the workers of a zone that an operator has evacuated.
    test("jobs start only outside an evacuated zone until it is restored", async () => {
        const setEvacuation = async (zone: string, evacuated: boolean) => {
            const answer = await callOperatorApi(0, "PUT", "/v1/evacuations", {
                zone,
                evacuated,
                operationId: `${zone}-${evacuated}`,
            });
            await waitUntil(async () => {
                const seen = await Promise.all([0, 1, 2].map(index => callOperatorApi(index, "GET", "/v1/status")));
                return seen.every(status => Number(status.body["revision"]) >= Number(answer.body["revision"] ?? 0));
            });
            return answer;
        };
        const runMany = async (prefix: string) => {
            const names = Array.from({ length: 8 }, (_, number) => `${prefix}-${number}`);
            const submit = (name: string) => createClient(0).submit(alpha, createSubmission(name, 50), 10_000);
            await Promise.all(names.map(submit));
            // The ids of the small site's workers begin with their zone.
            return names.flatMap(getStarts).map(entry => entry.workerId.split("-r1")[0]);
        };
        expect(await setEvacuation("zone-x", true)).toMatchObject({
            body: { code: result.ResultCode.ConfigurationInvalid },
        });
        const [used] = await runMany("before");
        expect(await setEvacuation(used!, true)).toMatchObject({ status: 200 });
        const during = await runMany("evacuated");
        expect(during.length).toBeGreaterThanOrEqual(8);
        expect(during).not.toContain(used);
        expect(await setEvacuation(used!, false)).toMatchObject({ status: 200 });
        const others = ["zone-a", "zone-b", "zone-c"].filter(zone => zone !== used);
        for (const zone of others) {
            await setEvacuation(zone, true);
        }
        expect(new Set(await runMany("restored"))).toEqual(new Set([used]));
        for (const zone of others) {
            await setEvacuation(zone, false);
        }
    });

    test("a preset whose guarantees do not fit is refused, and the error names the account", async () => {
        const preset = {
            name: "too-much",
            kind: "peak",
            guarantees: [{ account: "beta", blocks: 4, acceleratorsPerBlock: 16, adjacency: "rack" }],
        };
        const answer = await callOperatorApi(0, "PUT", "/v1/presets", { preset, operationId: "too-much" });
        expect(answer.body).toMatchObject({
            code: result.ResultCode.ConfigurationInvalid,
            message: expect.stringContaining("\"beta\""),
        });
    });
});

describe("instances", () => {
    test("a graceful shutdown interrupts no request", async () => {
        const client = createClient(0);
        const leaving = embedded.instances[0]!;
        const origin = leaving.callersOrigin;
        const body = (mark: string) => ({ class: "interactive", payload: JSON.stringify({ runMs: 700, mark }) });
        const direct = load.createCallersClient(() => origin, 8);
        clients.push(direct);
        const calls = ["s1", "s2", "s3"].map(mark => direct.submit(alpha, body(mark), 0));
        await embedded.clock.sleep(100);
        const stopping = embedded.removeInstance(leaving, "stop");
        const answers = await Promise.all(calls);
        expect(answers.map(answer => answer.kind)).toEqual(["done", "done", "done"]);
        await stopping;
        expect(await client.submit(alpha, body("s4"), 0)).toMatchObject({ kind: "done" });
        await embedded.addInstance("zone-a");
    });

    test("no job is lost when an instance is killed while jobs run", async () => {
        // The owner of a job's rack or queue is killed while the job runs. If only that process had the state, nobody
        // would finish the accepted job; the state is therefore in the job's row and at the worker.
        expect(await embedded.waitUntilReady(READY_MS)).toBe(true);
        const marks = Array.from({ length: 12 }, (_, index) => `killed-${index}`);
        for (const [index, mark] of marks.entries()) {
            const answer = await createClient(index).submit(alpha, createSubmission(mark, 1500), 0);
            expect(answer).toMatchObject({ kind: "job" });
        }
        await embedded.clock.sleep(500);
        await embedded.removeInstance(embedded.instances[1]!, "kill");
        for (const [index, mark] of marks.entries()) {
            expect(await createClient(index).get(alpha, mark, 25_000)).toMatchObject({ kind: "job", state: "done" });
        }
        const finished = marks.map(mark => getStarts(mark).filter(entry => entry.ended === "finished").length);
        expect(finished).toEqual(marks.map(() => 1));
    }, 60_000);
});

async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
    for (let attempt = 0; attempt < 200; attempt++) {
        if (await condition()) {
            return;
        }
        await embedded.clock.sleep(50);
    }
    throw new Error("the condition was not met in time");
}
