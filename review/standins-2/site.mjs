/**
 * A small site of real instances and stand-ins, for the scripts of the second review.
 *
 * Stand-ins: the platform's store (rows and feed), workers, the machine service, the advice service, callers. They do
 * what PROTOCOL.md says and nothing else; a script adds its one disruption through the hooks. Needs no build: plain
 * Node.js, no packages. The instances are the project's program, started with the command of `deploy/system.toml`.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), "../..");
const PROGRAM = path.join(ROOT, "target/platform/main.js");
const RUN_LIMIT_MS = 115_000;

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
/** Steady time in milliseconds since the script began. */
export const now = () => performance.now();

/** `pace-ms`: when an order on pace takes effect. */
const PACE_MS = 100;

/** Bounds of `sites/cedarflue-hq.toml`. */
export const BOUNDS = {
    maxLeaseMs: 6_000,
    graceSeconds: 6,
    upkeepSeconds: 2,
    statusSeconds: 120,
    configurationMs: 2_000,
    contactMs: 3_000,
    reportMs: 1_500,
};

/** Takes other bounds than those of cedarflue-hq. */
export function useBounds(other) {
    Object.assign(BOUNDS, other);
}

// ---------------------------------------------------------------- record

const lines = [];
/** Adds a line to `record.txt`: what was sent, answered and run. */
export function record(what, fields = {}) {
    const text = Object.entries(fields).map(([key, value]) => `${key}=${JSON.stringify(value)}`).join(" ");
    lines.push(`${(now() / 1_000).toFixed(3).padStart(8)} ${what} ${text}`.trimEnd());
}

const cleanups = [];
let folder;
let isOver = false;

async function finish(code, message) {
    if (isOver) {
        return;
    }
    isOver = true;
    record("result", { code, message });
    fs.writeFileSync(path.join(folder, "record.txt"), `${lines.join("\n")}\n`);
    process.stdout.write(`${message}\n`);
    for (const cleanup of cleanups.reverse()) {
        try {
            await cleanup();
        }
        catch (err) {
            process.stderr.write(`${err}\n`);
        }
    }
    process.exit(code);
}

/**
 * Runs a case. `play` returns the texts of what broke the rule, none if it held; what it throws means that the case
 * could not run.
 */
export async function runCase(caseFolder, play) {
    folder = caseFolder;
    const trouble = process.env.TROUBLE !== "0";
    record("case", { trouble });
    setTimeout(() => void finish(2, "the case took too long"), RUN_LIMIT_MS).unref();
    for (const name of ["SIGTERM", "SIGINT"]) {
        process.once(name, () => void finish(2, `ended by ${name}`));
    }
    if (!fs.existsSync(PROGRAM)) {
        return finish(2, `${PROGRAM} is missing: run the build line of deploy/system.toml`);
    }
    try {
        const broken = await play(trouble);
        return finish(
            broken.length > 0 ? 1 : 0,
            broken.length > 0 ? `BROKEN: ${broken.join("; ")}` : "held",
        );
    }
    catch (err) {
        return finish(2, `could not run: ${err instanceof Error ? err.stack : err}`);
    }
}

export async function waitFor(what, limitMs, check, stepMs = 50) {
    const until = now() + limitMs;
    for (;;) {
        const value = await check();
        if (value) {
            return value;
        }
        if (now() > until) {
            throw new Error(`no ${what} within ${limitMs} ms`);
        }
        await sleep(stepMs);
    }
}

// ---------------------------------------------------------------- HTTP

/** `handle` returns `{status, body}`, or `undefined` to break the connection off. */
export async function listen(host, handle, port = 0) {
    const server = http.createServer((req, res) => {
        const chunks = [];
        req.on("data", chunk => chunks.push(chunk));
        req.on("error", () => {});
        req.on("end", async () => {
            const url = new URL(req.url, "http://standin");
            const text = Buffer.concat(chunks).toString();
            const reply = await handle({
                call: `${req.method} ${url.pathname}`,
                query: url.searchParams,
                headers: req.headers,
                from: req.socket.remoteAddress,
                isAbandoned: () => req.socket.destroyed,
                body: text === "" ? {} : JSON.parse(text),
            });
            if (!reply) {
                req.socket.destroy();
                return;
            }
            const out = reply.body === undefined ? "" : JSON.stringify(reply.body);
            res.writeHead(reply.status, {
                "Content-Type": "application/json",
                "Content-Length": Buffer.byteLength(out),
            });
            res.end(out);
        });
    });
    server.keepAliveTimeout = 0;
    await new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
    });
    const close = () => {
        server.close();
        server.closeAllConnections();
    };
    cleanups.push(close);
    return { address: `${host}:${server.address().port}`, close };
}

/** Resolves with `{status, body}`, or with status 0 if there was no answer. Each call has a connection of its own. */
export function request(address, method, url, { headers = {}, body, timeoutMs = 3_000 } = {}) {
    return new Promise(resolve => {
        const [host, port] = address.split(":");
        const text = body === undefined ? undefined : JSON.stringify(body);
        const req = http.request({
            host,
            port,
            method,
            path: url,
            agent: false,
            headers: {
                ...headers,
                ...text !== undefined
                    && { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) },
            },
        });
        const timer = setTimeout(() => req.destroy(new Error("timeout")), timeoutMs);
        const done = result => {
            clearTimeout(timer);
            resolve(result);
        };
        req.on("error", err => done({ status: 0, body: { error: err.message } }));
        req.on("response", res => {
            const chunks = [];
            res.on("data", chunk => chunks.push(chunk));
            res.on("error", err => done({ status: 0, body: { error: err.message } }));
            res.on("end", () => {
                const out = Buffer.concat(chunks).toString();
                done({ status: res.statusCode, body: out === "" ? undefined : JSON.parse(out) });
            });
        });
        req.end(text);
    });
}

// ---------------------------------------------------------------- addresses

async function isFree(host, port) {
    return new Promise(resolve => {
        const server = net.createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });
}

/** A block of loopback addresses, 127.A.B.*, on which the ports of instances are free. */
export async function findBlock() {
    for (let tries = 0; tries < 50; tries++) {
        const block = `127.${60 + Math.floor(Math.random() * 180)}.${1 + Math.floor(Math.random() * 250)}`;
        const hosts = [11, 12, 13, 14, 15].map(last => `${block}.${last}`);
        const free = await Promise.all(
            hosts.flatMap(host => [8_521, 8_523, 7_000, 7_001, 9_464].map(port => isFree(host, port))),
        );
        if (free.every(Boolean)) {
            return block;
        }
    }
    throw new Error("no free block of loopback addresses");
}

// ---------------------------------------------------------------- the platform's store

/** Rows, transactions and the feed. `onTx(entry)` may return "late:MS" (done later, no answer) or "refuse". */
export async function createStore(host, { onTx = () => undefined, rowBytes = Infinity } = {}) {
    const rows = new Map();
    const history = [];
    const waiters = new Set();
    let ver = 0;
    const id = row => `${row.table}\n${row.part ?? ""}\n${row.key}`;
    const toRow = row => ({ table: row.table, part: row.part ?? "", key: row.key, value: row.value, ver: row.ver });
    const apply = ({ put = [], remove = [], "expected-rev": expected = [] }) => {
        const holds = expected.every(row => (rows.get(id(row))?.ver ?? 0) === (row.ver ?? 0));
        if (!holds) {
            return {
                status: 412,
                body: { rows: expected.map(row => rows.get(id(row))).filter(Boolean).map(toRow), ver },
            };
        }
        ver++;
        for (const row of put) {
            const stored = { ...row, part: row.part ?? "", ver };
            rows.set(id(row), stored);
            history.push(stored);
        }
        for (const row of remove) {
            rows.delete(id(row));
            history.push({ ...row, part: row.part ?? "", value: "", ver, removed: true });
        }
        [...waiters].forEach(wake => wake());
        return { status: 200, body: { ver, "now-ms": Math.floor(now()) } };
    };
    const list = (table, part) =>
        [...rows.values()].filter(row => row.table === table && row.part === part)
            .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
    const feed = async query => {
        const table = query.get("table");
        const after = Number(query.get("after"));
        const until = now() + Number(query.get("wait-ms") ?? 0);
        for (;;) {
            const changes = history.filter(row => row.table === table && row.ver > after);
            if (changes.length > 0 || now() >= until) {
                return {
                    status: 200,
                    body: {
                        rows: changes.map(row => ({ ...toRow(row), removed: row.removed })),
                        ver,
                        "now-ms": Math.floor(now()),
                    },
                };
            }
            await new Promise(resolve => {
                const timer = setTimeout(resolve, until - now());
                const wake = () => {
                    clearTimeout(timer);
                    waiters.delete(wake);
                    resolve();
                };
                waiters.add(wake);
            });
        }
    };
    const server = await listen(host, async ({ call, query, body, from }) => {
        switch (call) {
            case "POST /-/rows-tx": {
                await sleep(5);
                const tooLong = (body.put ?? []).find(row => Buffer.from(row.value, "base64").length > rowBytes);
                if (tooLong) {
                    record("store.rowTooLong", {
                        row: `${tooLong.table}/${tooLong.key}`,
                        bytes: Buffer.from(tooLong.value, "base64").length,
                    });
                    return { status: 400 };
                }
                const fault = onTx({ from, body });
                if (fault === "refuse") {
                    return { status: 503 };
                }
                const lateMs = /^late:(\d+)$/.exec(fault ?? "")?.[1];
                if (lateMs !== undefined) {
                    const keys = (body.put ?? []).map(row => `${row.table}/${row.key}`);
                    record("store.unanswered", { from, keys, doneAfterMs: Number(lateMs) });
                    setTimeout(() => record("store.lateWrite", { keys, status: apply(body).status }), Number(lateMs))
                        .unref();
                    return undefined;
                }
                return apply(body);
            }
            case "GET /-/rows-get": {
                await sleep(4);
                const all = list(query.get("table"), query.get("part") ?? "").filter(row =>
                    (!query.has("from") || row.key >= query.get("from"))
                    && (!query.has("target") || row.key < query.get("target"))
                );
                const limit = Math.min(500, Number(query.get("limit")) || 500);
                return {
                    status: 200,
                    body: {
                        rows: all.slice(0, limit).map(toRow),
                        "has-more": all.length > limit || undefined,
                        ver,
                        "now-ms": Math.floor(now()),
                    },
                };
            }
            case "GET /-/rows-feed":
                return feed(query);
            default:
                return { status: 404 };
        }
    });
    const encode = value => Buffer.from(JSON.stringify(value)).toString("base64");
    const decode = row => row && JSON.parse(Buffer.from(row.value, "base64").toString());
    return {
        address: server.address,
        /** Writes a row as the operator or a worker would. */
        put: (table, key, value) => apply({ put: [{ table, part: "", key, value: encode(value) }] }),
        putAll: entries =>
            apply({ put: entries.map(([table, key, value]) => ({ table, part: "", key, value: encode(value) })) }),
        remove: (table, key) => apply({ remove: [{ table, part: "", key }] }),
        get: (table, key, part = "") => decode(rows.get(id({ table, part, key }))),
        getRow: (table, key, part = "") => rows.get(id({ table, part, key })),
    };
}

// ---------------------------------------------------------------- workers

/**
 * A worker: one life of a machine. `getDurationMs(task, spec)` says how long a run works, `Infinity` for a task that
 * lasts; `getFigure(run, runs)` the fifth entry of its row, `getSaved(run)` its
 * checkpoint. `onCall(call, body)` may return "late:MS" (carried out later, no answer), "lost" (carried out, no answer) or
 * "cut" (not carried out, no answer).
 */
export async function createWorker(site, {
    name,
    host,
    port = 0,
    service,
    zone,
    labels,
    capacity = { cpu: 32_000, "mem-mb": 65_536, gpu: 8 },
    getDurationMs,
    getFigure = () => 0,
    getSaved,
    onCall = () => undefined,
    heartbeatMs = 1_500,
}) {
    const bornAt = Date.now();
    const startedAt = now();
    const clock = () => Math.floor(now() - startedAt) + 1_000;
    const running = new Map();
    const closed = new Map();
    let ended = [];
    let endCount = 0;
    let fence = 0;
    let leaseUntil = 0;
    let seq = 0;
    let alive = true;
    const waiters = new Set();
    const end = (run, how) => {
        running.delete(run.task);
        closed.set(run.task, Math.max(run.run, closed.get(run.task) ?? 0));
        ended.push([++endCount, run.task, run.run, how, run.saved]);
        site.events.push({ kind: "end", at: now(), worker: name, task: run.task, run: run.run, how });
        record("run.end", { worker: name, task: run.task, run: run.run, how });
        [...waiters].forEach(wake => wake());
    };
    const tick = setInterval(() => {
        for (const run of [...running.values()]) {
            if (clock() >= leaseUntil) {
                end(run, "lapsed");
            }
            else if (now() >= run.stopsAt) {
                end(run, "stopped");
            }
            else if (now() - run.startedAt >= run.durationMs) {
                end(run, "done");
            }
        }
    }, 10);
    const extend = deadline => {
        if (deadline) {
            leaseUntil = Math.max(leaseUntil, Math.min(deadline, clock() + BOUNDS.maxLeaseMs));
        }
    };
    const reject = reason => ({ status: 409, body: { "clock-ms": clock(), reason } });
    const ok = () => ({ status: 200, body: { "clock-ms": clock() } });
    const execute = {
        "POST /-/run-start": body => {
            const current = running.get(body.task);
            if (current?.run === body.run) {
                return ok();
            }
            if (current || body.run <= (closed.get(body.task) ?? 0)) {
                extend(body["deadline-ms"]);
                return reject("old");
            }
            if (body["deadline-ms"] <= clock()) {
                return reject("late");
            }
            const refusal = site.checkTicket?.(name, body);
            if (refusal) {
                return reject(refusal);
            }
            extend(body["deadline-ms"]);
            running.set(body.task, {
                task: body.task,
                run: body.run,
                startedAt: now(),
                durationMs: getDurationMs(body.task, body.spec),
                stopsAt: Infinity,
                saved: "",
                pace: 100,
            });
            site.events.push({ kind: "start", at: now(), worker: name, labels, task: body.task, run: body.run, fence });
            record("run.start", { worker: name, labels, task: body.task, run: body.run, fence });
            return ok();
        },
        "POST /-/run-stop": body => {
            const current = running.get(body.task);
            if (current && current.run <= body.run) {
                current.stopsAt = Math.min(current.stopsAt, now() + 100);
            }
            closed.set(body.task, Math.max(body.run, closed.get(body.task) ?? 0));
            record("run.stopOrder", { worker: name, task: body.task, run: body.run });
            return ok();
        },
        "POST /-/pace": body => {
            const current = running.get(body.task);
            if (current?.run === body.run) {
                setTimeout(() => {
                    current.pace = body.percent ?? 0;
                }, PACE_MS).unref();
                record("run.pace", { worker: name, task: body.task, run: body.run, percent: body.percent ?? 0 });
            }
            return ok();
        },
        "POST /-/hold": async body => {
            extend(body["deadline-ms"]);
            ended = ended.filter(([number]) => number > (body["seen-upto"] ?? 0));
            if (ended.length === 0 && body["wait-ms"] > 0) {
                await new Promise(resolve => {
                    const wake = () => {
                        clearTimeout(timer);
                        waiters.delete(wake);
                        resolve();
                    };
                    const timer = setTimeout(wake, body["wait-ms"]);
                    waiters.add(wake);
                });
            }
            return {
                status: 200,
                body: {
                    "clock-ms": clock(),
                    born: bornAt,
                    running: [...running.values()].map(run => [
                        run.task,
                        run.run,
                        getSaved?.(run) ?? run.saved,
                        run.durationMs === Infinity
                            ? 100
                            : Math.min(99, Math.floor(100 * (now() - run.startedAt) / run.durationMs)),
                        getFigure(run, [...running.values()]),
                    ]),
                    ended: ended.slice(0, 500),
                },
            };
        },
    };
    const server = await listen(host, async ({ call, headers, body, from }) => {
        if (headers["target-instance"] !== undefined && headers["target-instance"] !== name) {
            return { status: 421 };
        }
        if (!execute[call]) {
            return { status: 404 };
        }
        const perform = () => {
            const token = body["fence-token"] ?? 0;
            if (token < fence) {
                return reject("fence");
            }
            fence = token;
            return execute[call](body);
        };
        const fault = onCall(call, body, from);
        const lateMs = /^late:(\d+)$/.exec(fault ?? "")?.[1];
        if (lateMs !== undefined) {
            record("worker.unanswered", {
                worker: name,
                call,
                task: body.task,
                run: body.run,
                doneAfterMs: Number(lateMs),
            });
            setTimeout(() => alive && void perform(), Number(lateMs)).unref();
            await sleep(Number(lateMs));
            return undefined;
        }
        if (fault === "cut") {
            await sleep(30_000);
            return undefined;
        }
        const reply = await perform();
        return fault === "lost" ? undefined : reply;
    }, port);
    const beat = () =>
        site.store.put("servers", name, {
            service,
            address: server.address,
            zone,
            version: "1",
            slots: 8,
            state: "ready",
            "seq-no": ++seq,
            born: bornAt,
            capacity,
            labels,
        });
    beat();
    const beats = setInterval(beat, heartbeatMs);
    const kill = () => {
        if (!alive) {
            return;
        }
        alive = false;
        clearInterval(tick);
        clearInterval(beats);
        for (const run of running.values()) {
            site.events.push({ kind: "end", at: now(), worker: name, task: run.task, run: run.run, how: "gone" });
            record("run.end", { worker: name, task: run.task, run: run.run, how: "gone" });
        }
        running.clear();
        server.close();
    };
    cleanups.push(kill);
    return {
        name,
        address: server.address,
        running,
        /** Ends the worker and all that runs there, without a word. */
        crash: () => {
            record("worker.crash", { worker: name });
            kill();
        },
        /** Ends the worker and all that runs there; its entry is removed when it has left. */
        leave: () => {
            kill();
            site.store.remove("servers", name);
        },
    };
}

// ---------------------------------------------------------------- instances

/** Starts an instance with the command of the deploy file; settings as its template fills them in. */
export function createInstance({ name, zone, address, store, machines, adviser, temporary }) {
    const settingsFile = path.join(temporary, `${name}.toml`);
    const text = value => JSON.stringify(value);
    fs.writeFileSync(
        settingsFile,
        [
            `instance = ${text(name)}`,
            `zone = ${text(zone)}`,
            `address = ${text(address)}`,
            `callers = ${text(`${address}:8521`)}`,
            `readiness = ${text(`${address}:8523`)}`,
            `watch = ${text(`${address}:7000`)}`,
            `peers = ${text(`${address}:7001`)}`,
            `enabled = ["learnedDurations", "workerSpeeds", "gangExposure", "departures"]`,
            `cpuShare = 0.675`,
            `coreSpeed = 1`,
            `store = ${text(store)}`,
            `rowBytes = 65536`,
            ...adviser ? [`adviser = ${text(adviser)}`] : [],
            ...machines ? [`machines = ${text(machines)}`] : [],
            "",
            "[bounds]",
            ...Object.entries(BOUNDS).map(([key, value]) => `${key} = ${value}`),
            "",
        ].join("\n"),
    );
    const logFile = path.join(temporary, `${name}.out`);
    let child;
    const start = () => {
        const output = fs.openSync(logFile, "a");
        child = childProcess.spawn(
            process.execPath,
            ["--max-old-space-size=160", "--max-semi-space-size=4", "target/platform/main.js"],
            {
                cwd: ROOT,
                env: { PLANTAINCHUTE_CONFIG: settingsFile, PATH: process.env.PATH },
                stdio: ["ignore", output, output],
            },
        );
        fs.closeSync(output);
        const started = child;
        record("instance.start", { name, pid: started.pid });
        started.on("exit", (code, signal) => record("instance.exit", { name, pid: started.pid, code, signal }));
    };
    const isRunning = () => child !== undefined && child.exitCode === null && child.signalCode === null;
    const signal = what => {
        if (isRunning()) {
            record("instance.signal", { name, pid: child.pid, what });
            child.kill(what);
        }
    };
    cleanups.push(async () => {
        if (isRunning()) {
            child.kill("SIGKILL");
            await new Promise(resolve => child.once("exit", resolve));
        }
    });
    return {
        name,
        zone,
        callers: `${address}:8521`,
        readiness: `${address}:8523`,
        start,
        isRunning,
        signal,
        readLog: () => fs.readFileSync(logFile, "utf8"),
    };
}

/** A temporary folder, which goes with the script unless KEEP is set. */
export function createTemporary() {
    const temporary = fs.mkdtempSync(path.join(os.tmpdir(), "plantainchute-review-"));
    cleanups.push(() => {
        if (process.env.KEEP) {
            process.stdout.write(`kept ${temporary}\n`);
            return;
        }
        fs.rmSync(temporary, { recursive: true, force: true });
    });
    return temporary;
}

/** Waits until an instance leads, as its row in the store says, and all are ready. */
export async function waitUntilServing(site) {
    await waitFor("ready instances", 20_000, async () => {
        const answers = await Promise.all(
            site.instances.map(instance => request(instance.readiness, "GET", "/-/ready", { timeoutMs: 500 })),
        );
        return answers.every(answer => answer.status === 200);
    }, 200);
    record("site.ready");
}

// ---------------------------------------------------------------- callers

/** Calls of a caller; each is recorded with its answer. */
export function createCaller(site, { host, prefix, key }) {
    let next = 0;
    const call = async (
        method,
        rest,
        { body, at = site.instances[next++ % site.instances.length], deadlineMs = 3_000 } = {},
    ) => {
        const sentAt = now();
        const answer = await request(at.callers, method, prefix + rest, {
            headers: { Host: host, Authorization: `Token ${key}`, "Deadline-Ms": String(deadlineMs) },
            body,
            timeoutMs: deadlineMs,
        });
        record("call", {
            method,
            path: prefix + rest,
            at: at.name,
            status: answer.status,
            body: answer.body,
            tookMs: Math.round(now() - sentAt),
        });
        return answer;
    };
    const submit = async (id, job, options) => call("POST", id, { ...options, body: job });
    return {
        call,
        submit,
        /** Hands the job in again, as PROTOCOL.md says, until it is accepted. */
        submitUntilAccepted: async (id, job) => {
            for (let tries = 0; tries < 10; tries++) {
                const { status } = await submit(id, job);
                if (status === 200) {
                    return;
                }
                await sleep(1_000);
            }
            throw new Error(`job ${id} was not accepted`);
        },
        getState: async id => (await call("GET", id)).body?.state,
        cancel: (id, options) => call("DELETE", id, options),
    };
}

/** A job id: 16 hexadecimal digits. */
export const createJobId = () => Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join("");

/** A configuration with one service and one queue, and one tenant. */
export function createConfiguration({ version = 7, advice, guards = false, guaranteed = 0 } = {}) {
    return {
        version,
        routes: [
            {
                name: "plan",
                host: "plan.example",
                "path-prefix": "/plan/",
                service: "booking",
                priority: 1,
                "max-attempts": 2,
                stretch: 2,
                "slo-ms": 1_000,
                ...advice && { advice },
            },
            {
                name: "now",
                host: "plan.example",
                "path-prefix": "/now/",
                service: "booking",
                priority: 0,
                "max-attempts": 2,
                stretch: 2,
                "slo-ms": 250,
            },
        ],
        services: [{ name: "booking", ...guards && { "admission-check": true } }],
        tenants: [
            { name: "office", "api-keys": ["key-office"], guaranteed: { gpu: 0 } },
            { name: "desk", "api-keys": ["key-desk"], guaranteed: { gpu: guaranteed } },
        ],
        limits: {
            "max-header-bytes": 16_384,
            "max-body-bytes": 262_144,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
    };
}
