/**
 * A small site for the review's scripts: the platform's store, workers, machines and a client as stand-ins, and the
 * project's own program as separate processes. Everything listens on loopback addresses.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";

export const ROOT = path.join(path.dirname(url.fileURLToPath(import.meta.url)), "../..");
export const EXIT = { Held: 0, Broken: 1, CannotRun: 2 };

/** Bounds of `cedarflue-hq`, as DEPLOY.md shows them. */
export const BOUNDS = {
    "contact-ms": 3000,
    "grace-s": 6,
    "config-apply-ms": 2000,
    "max-hold-ms": 6000,
    "stop-ms": 200,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "checkpoint-s": 1,
    "upkeep-s": 2,
};
const HEARTBEAT_MS = 1500;
const ROW_BYTES = 65536;
const STORE_ANSWER_MS = 4;
const TX_MS = 5;
const TEXT_BYTES = 200;
const PAGE_BYTES = 1_000_000;
const RESTART_MS = 500;

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Writes lines with the seconds since the start to `record.txt` beside the case. */
export function createRecord(folder) {
    const file = path.join(folder, "record.txt");
    const startedAt = performance.now();
    fs.writeFileSync(file, "");
    const now = () => (performance.now() - startedAt) / 1000;
    return {
        now,
        write: text => fs.appendFileSync(file, `${now().toFixed(3).padStart(8)} ${text}\n`),
    };
}

function readBody(req) {
    return new Promise((resolve, reject) => {
        const chunks = [];
        req.on("data", chunk => chunks.push(chunk));
        req.on("end", () => resolve(Buffer.concat(chunks).toString()));
        req.on("error", reject);
    });
}

/** Starts an HTTP server. `handle` returns status and body, or `undefined` to leave the call without an answer. */
async function serve(address, handle, closers) {
    const server = http.createServer((req, res) => {
        readBody(req).then(async text => {
            const target = new URL(req.url, "http://standin");
            let body = {};
            try {
                body = text === "" ? {} : JSON.parse(text);
            }
            catch {
                res.writeHead(400).end();
                return;
            }
            const reply = await handle({
                call: `${req.method} ${target.pathname}`,
                method: req.method,
                path: target.pathname,
                query: target.searchParams,
                headers: req.headers,
                body,
            });
            if (!reply || res.destroyed) {
                return;
            }
            const out = reply.body === undefined ? "" : JSON.stringify(reply.body);
            res.writeHead(reply.status, {
                "Content-Type": "application/json",
                "Content-Length": Buffer.byteLength(out),
            });
            res.end(out);
        }).catch(() => res.destroy());
    });
    server.keepAliveTimeout = 0;
    const [host, port] = address.split(":");
    await new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(Number(port), host, resolve);
    });
    closers.push(() => {
        server.close();
        server.closeAllConnections();
    });
}

/** Index of the first row whose key is not below `from`. */
function findFirst(rows, from) {
    let low = 0;
    let high = rows.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if (rows[middle].key < from) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/** The platform's store, form `table`. `openFor` serves it at an address of its own for each machine. */
function createStore() {
    const rows = new Map();
    const history = [];
    const waiters = new Set();
    let version = 0;
    const rowId = ({ table, part = "", key }) => `${table}\n${part}\n${key}`;
    const commit = (puts, removals) => {
        version++;
        for (const { table, part = "" } of [...puts, ...removals]) {
            sorted.delete(`${table}\n${part}`);
        }
        for (const { table, part = "", key, value } of puts) {
            const row = { table, part, key, value, ver: version };
            rows.set(rowId(row), row);
            history.push(row);
        }
        for (const { table, part = "", key } of removals) {
            if (rows.delete(rowId({ table, part, key }))) {
                history.push({ table, part, key, value: "", ver: version, removed: true });
            }
        }
        [...waiters].forEach(wake => wake());
        return version;
    };
    /** Rows of each part in the order of their keys, as long as nothing in the part changes. */
    const sorted = new Map();
    const list = (table, part) => {
        const id = `${table}\n${part}`;
        if (!sorted.has(id)) {
            const found = [...rows.values()].filter(row => row.table === table && row.part === part);
            sorted.set(id, found.sort((a, b) => a.key < b.key ? -1 : 1));
        }
        return sorted.get(id);
    };
    const store = {
        /** Writes rows as they are. */
        bulk: puts => commit(puts, []),
        /** Number of transactions that were refused since a value was too long. */
        tooLong: 0,
        put: (key, value, table = "op") =>
            commit([{ table, part: "", key, value: Buffer.from(JSON.stringify(value)).toString("base64") }], []),
        remove: (key, table) => commit([], [{ table, part: "", key }]),
        get: (table, part, key) => {
            const row = rows.get(rowId({ table, part, key }));
            return row && JSON.parse(Buffer.from(row.value, "base64").toString() || "null");
        },
        has: (table, part, key) => rows.has(rowId({ table, part, key })),
        list,
        transact: body => {
            const expected = body["expected-rev"] ?? [];
            const puts = body.put ?? [];
            const removals = body.remove ?? [];
            const all = [...expected, ...puts, ...removals];
            if (all.length > 100 || all.some(row => Buffer.byteLength(row.key ?? "") > TEXT_BYTES)) {
                return { status: 400 };
            }
            if ([...puts, ...removals].some(row => row.table === "op" || row.table === "servers")) {
                return { status: 403 };
            }
            // The looser reading of `row-bytes`: the value before base64.
            if (puts.some(row => Buffer.from(row.value, "base64").length > ROW_BYTES)) {
                store.tooLong++;
                return { status: 400, body: { error: "a value is longer than row-bytes" } };
            }
            if (expected.some(row => (rows.get(rowId(row))?.ver ?? 0) !== row.ver)) {
                const current = expected.map(row => rows.get(rowId(row))).filter(Boolean);
                return { status: 412, body: { rows: current, ver: version } };
            }
            return { status: 200, body: { ver: commit(puts, removals), "now-ms": Math.round(performance.now()) } };
        },
        /** `onTransact` may return `{ lateMs }`: the transaction is done that much later and not answered. */
        openFor: (address, closers, onTransact = () => undefined) =>
            serve(address, async ({ call, query, body }) => {
                await sleep(STORE_ANSWER_MS);
                switch (call) {
                    case "POST /-/rows-tx": {
                        const fault = onTransact(body);
                        if (fault) {
                            setTimeout(() => fault.onDone?.(store.transact(body)), fault.lateMs);
                            return undefined;
                        }
                        await sleep(TX_MS);
                        return store.transact(body);
                    }
                    case "GET /-/rows-get": {
                        const limit = Math.min(500, Number(query.get("limit")) || 500);
                        const all = list(query.get("table"), query.get("part") ?? "");
                        const from = query.get("from") ?? "";
                        const target = query.get("target");
                        const found = [];
                        let bytes = 0;
                        let hasMore = false;
                        for (let index = findFirst(all, from); index < all.length; index++) {
                            const row = all[index];
                            if (target && row.key >= target) {
                                break;
                            }
                            bytes += row.value.length;
                            hasMore = found.length === limit || (found.length > 0 && bytes > PAGE_BYTES);
                            if (hasMore) {
                                break;
                            }
                            found.push(row);
                        }
                        return { status: 200, body: { rows: found, "has-more": hasMore, ver: version } };
                    }
                    case "GET /-/rows-feed": {
                        const until = performance.now() + Math.min(30000, Number(query.get("wait-ms")));
                        const after = Number(query.get("after"));
                        for (;;) {
                            const found = history.filter(row => row.ver > after && row.table === query.get("table"));
                            const leftMs = until - performance.now();
                            if (found.length > 0 || leftMs <= 0) {
                                return { status: 200, body: { rows: found, ver: version } };
                            }
                            await new Promise(resolve => {
                                const wake = () => {
                                    clearTimeout(timer);
                                    waiters.delete(wake);
                                    resolve();
                                };
                                const timer = setTimeout(wake, leftMs);
                                waiters.add(wake);
                            });
                        }
                    }
                    default:
                        return { status: 404 };
                }
            }, closers),
    };
    return store;
}

/**
 * A worker. Tasks take as long as their job's `spec` says, `{"ms":N}`, and end `done` or as its `how` says. A restart begins another life, with the same id
 * or a new one.
 */
function createWorker({ site, number, service, capacity, makeSaved, kind = "a" }) {
    const address = `${site.ip(100 + number)}:8600`;
    const labels = [kind, "r1"];
    let lives = 0;
    let life;
    const clock = () => Math.round(performance.now() - life.clockStart);
    const end = (run, how) => {
        life.runs.delete(run.task);
        life.closed.set(run.task, Math.max(run.run, life.closed.get(run.task) ?? 0));
        const saved = how === "done" ? "" : run.saved;
        life.ended.push([life.nextEnd++, run.task, run.run, how, saved]);
        site.record.write(`worker ${life.id} ended ${run.task} run ${run.run}: ${how}`);
        site.onEnd?.({ task: run.task, run: run.run, how, at: site.record.now() });
        [...life.waiters].forEach(wake => wake());
    };
    const tick = () => {
        for (const run of life ? [...life.runs.values()] : []) {
            if (clock() >= life.leaseUntil) {
                end(run, "lapsed");
            }
            else if (run.stopAt !== undefined) {
                if (performance.now() >= run.stopAt) {
                    end(run, "stopped");
                }
            }
            else if (performance.now() - run.startedAt >= run.ms) {
                end(run, run.how);
            }
            else if (makeSaved && Math.floor((performance.now() - run.startedAt) / 1000) > run.saves) {
                run.saves++;
                run.saved = makeSaved(run.task, run.saves);
            }
        }
    };
    const timer = setInterval(tick, 20);
    let reportedAt = 0;
    const report = () => {
        if (life) {
            reportedAt = performance.now();
            site.store.put(life.id, {
                service,
                address,
                zone: site.zone,
                version: "1",
                slots: 8,
                state: life.drainingMs === undefined ? "ready" : "draining",
                "remaining-ms": life.drainingMs,
                "seq-no": life.seq++,
                born: life.born,
                capacity,
                labels,
            }, "servers");
        }
    };
    const heartbeat = setInterval(report, HEARTBEAT_MS);
    site.closers.push(() => {
        clearInterval(timer);
        clearInterval(heartbeat);
    });
    const fenced = body => {
        const token = body["fence-token"] ?? 0;
        if (token < life.fence) {
            return { status: 409, body: { "clock-ms": clock(), reason: "fence" } };
        }
        life.fence = token;
        return undefined;
    };
    const extend = body => {
        if (body["deadline-ms"] !== undefined) {
            const most = clock() + BOUNDS["max-hold-ms"];
            life.leaseUntil = Math.max(life.leaseUntil, Math.min(most, body["deadline-ms"]));
        }
    };
    const ok = () => ({ status: 200, body: { "clock-ms": clock() } });
    const handle = async ({ call, headers, body }) => {
        if (!life) {
            return undefined;
        }
        const current = life;
        if (headers["target-instance"] !== undefined && headers["target-instance"] !== life.id) {
            return { status: 421 };
        }
        const refusal = call === "GET /-/health" ? undefined : fenced(body);
        if (refusal) {
            return refusal;
        }
        switch (call) {
            case "POST /-/run-start": {
                const present = life.runs.get(body.task);
                if (present?.run === body.run) {
                    return ok();
                }
                if (body["deadline-ms"] <= clock()) {
                    return { status: 409, body: { "clock-ms": clock(), reason: "late" } };
                }
                if (present || body.run <= (life.closed.get(body.task) ?? 0)) {
                    return { status: 409, body: { "clock-ms": clock(), reason: "old" } };
                }
                extend(body);
                life.runs.set(body.task, {
                    task: body.task,
                    run: body.run,
                    ms: JSON.parse(body.spec).ms,
                    how: JSON.parse(body.spec).how ?? "done",
                    startedAt: performance.now(),
                    saves: 0,
                    saved: body.saved ?? "",
                });
                site.record.write(`worker ${life.id} started ${body.task} run ${body.run}`);
                site.onStart?.({ task: body.task, run: body.run, worker: life.id, at: site.record.now() });
                return ok();
            }
            case "POST /-/run-stop": {
                const present = life.runs.get(body.task);
                if (present && present.run <= body.run) {
                    present.stopAt ??= performance.now() + BOUNDS["stop-ms"] / 2;
                }
                life.closed.set(body.task, Math.max(body.run, life.closed.get(body.task) ?? 0));
                return ok();
            }
            case "POST /-/pace":
                return ok();
            case "POST /-/hold": {
                extend(body);
                life.ended = life.ended.filter(([n]) => n > (body["seen-upto"] ?? 0));
                if (life.ended.length === 0 && body["wait-ms"] > 0) {
                    await new Promise(resolve => {
                        const wake = () => {
                            clearTimeout(waitTimer);
                            current.waiters.delete(wake);
                            resolve();
                        };
                        const waitTimer = setTimeout(wake, body["wait-ms"]);
                        current.waiters.add(wake);
                    });
                }
                if (life !== current) {
                    return undefined;
                }
                return {
                    status: 200,
                    body: {
                        "clock-ms": clock(),
                        born: life.born,
                        running: [...life.runs.values()].map(run => [
                            run.task,
                            run.run,
                            run.saved,
                            Math.min(99, Math.floor(100 * (performance.now() - run.startedAt) / run.ms)),
                            0,
                        ]),
                        ended: life.ended.slice(0, 500),
                    },
                };
            }
            default:
                return { status: 404 };
        }
    };
    /** `site.onOrder` may return `{ lateMs }`: the call gets no answer and is carried out later, by whoever lives then. */
    const receive = request => {
        const fault = life && site.onOrder?.(life.id, request);
        if (!fault) {
            return handle(request);
        }
        setTimeout(() => void handle(request).then(fault.onDone), fault.lateMs);
        return undefined;
    };
    const worker = {
        number,
        getId: () => life?.id,
        getRunning: () => life ? [...life.runs.keys()] : [],
        /** Begins a life; `sameId` keeps the id of the one before. */
        start: sameId => {
            lives += sameId && lives > 0 ? 0 : 1;
            life = {
                id: `w${number}-${lives}`,
                born: Date.now(),
                clockStart: performance.now(),
                seq: 1,
                fence: 0,
                leaseUntil: 0,
                runs: new Map(),
                closed: new Map(),
                ended: [],
                nextEnd: 1,
                waiters: new Set(),
            };
            site.record.write(`worker ${life.id} begins a life, born ${life.born}`);
            report();
        },
        /** Reports that it leaves, in `remainingMs` at the earliest. */
        drain: remainingMs => {
            life.drainingMs = remainingMs;
            site.record.write(`worker ${life.id} drains, at least ${remainingMs} ms`);
            report();
        },
        /** Ends the life at once and in silence; its entry is removed after three heartbeat intervals without one. */
        crash: () => {
            const { id } = life;
            site.record.write(`worker ${id} crashes with ${life.runs.size} runs`);
            [...life.waiters].forEach(wake => wake());
            life = undefined;
            setTimeout(() => {
                if (life?.id !== id) {
                    site.record.write(`directory: the entry of ${id} is removed`);
                    site.store.remove(id, "servers");
                }
            }, reportedAt + 3 * HEARTBEAT_MS - performance.now());
        },
        /** Ends the life at once; its entry is removed, as the worker has left. */
        leave: () => {
            if (!life) {
                return;
            }
            site.record.write(`worker ${life.id} leaves with ${life.runs.size} runs`);
            site.store.remove(life.id, "servers");
            [...life.waiters].forEach(wake => wake());
            life = undefined;
        },
        listen: () => serve(address, receive, site.closers),
        machine: `m${number}`,
        labels,
        capacity,
        service,
    };
    return worker;
}

/** The cloud's machines: lists them and carries out upkeeps. `sameId`: a worker returns under the id that it had. */
export async function openCloud(site, { sameId }) {
    const states = new Map(site.workers.map(worker => [worker.machine, "up"]));
    const begun = new Map();
    await serve(site.cloudAddress, ({ call, headers, body }) => {
        switch (call) {
            case "GET /-/machines":
                return {
                    status: 200,
                    body: {
                        machines: site.workers.map(worker => ({
                            machine: worker.machine,
                            pool: worker.service,
                            state: states.get(worker.machine),
                            zone: site.zone,
                            labels: worker.labels,
                            capacity: worker.capacity,
                            id: worker.getId(),
                        })),
                    },
                };
            case "POST /-/machine-upkeep": {
                const worker = site.workers.find(candidate => candidate.machine === body.machine);
                const wave = site.store.get("op", "", `wave/${body.wave}`);
                site.record.write(
                    `cloud: upkeep of ${body.machine} for wave ${body.wave} by ${headers["lease-holder"]}`
                        + ` token ${headers["fence-token"]}`,
                );
                if (!worker) {
                    return { status: 400 };
                }
                if (!wave?.machines.includes(body.machine)) {
                    return { status: 409, body: { reason: "wave" } };
                }
                if (begun.get(body.machine) === body.wave) {
                    return { status: 200, body: {} };
                }
                if (states.get(body.machine) !== "up") {
                    return { status: 409, body: { reason: "busy" } };
                }
                begun.set(body.machine, body.wave);
                states.set(body.machine, "upkeep");
                worker.leave();
                setTimeout(() => {
                    states.set(body.machine, "up");
                    worker.start(sameId);
                }, BOUNDS["upkeep-s"] * 1000);
                return { status: 200, body: {} };
            }
            default:
                return { status: 404 };
        }
    }, site.closers);
    return { countBegun: wave => [...begun.values()].filter(number => number === wave).length };
}

/** Fills in the project's template as DEPLOY.md describes it, as far as the template uses it. */
function fillTemplate(text, fields) {
    const get = name =>
        Object.hasOwn(fields, name) ? fields[name] : name.split(".").reduce((value, part) => value?.[part], fields);
    return text
        .replace(
            /\{\{#([^}]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g,
            (_, name, inner) => get(name) === undefined || get(name) === "" ? "" : fillTemplate(inner, fields),
        )
        .replace(/\{\{([^}|]+)\|json\}\}/g, (_, name) => JSON.stringify(get(name) ?? null))
        .replace(/\{\{([^}|]+)\}\}/g, (_, name) => String(get(name) ?? ""));
}

function isFree(address) {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const server = net.createServer();
        server.once("error", () => resolve(false));
        server.listen(Number(port), host, () => server.close(() => resolve(true)));
    });
}

/** Opens a site: store, workers, and the project's instances, which are not started. */
export async function openSite({
    record,
    instances = 3,
    workers = [],
    cloud = false,
    configuration,
    onTransact = () => undefined,
    makeSaved,
}) {
    let block;
    for (let tries = 0; tries < 50 && block === undefined; tries++) {
        const candidate = `127.${10 + Math.floor(Math.random() * 240)}.${Math.floor(Math.random() * 250)}`;
        block = await isFree(`${candidate}.1:8521`) && await isFree(`${candidate}.1:9464`) ? candidate : undefined;
    }
    if (block === undefined) {
        throw new Error("no free loopback addresses");
    }
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-3-"));
    const closers = [];
    const site = {
        record,
        folder,
        closers,
        zone: "burnaby-a",
        ip: number => `${block}.${number}`,
        store: createStore(),
        cloudAddress: `${block}.250:8524`,
        workers: [],
        instances: [],
        /** Whether the platform starts a process again that has ended by itself. */
        restarts: false,
    };
    site.store.put("config", configuration);
    site.workers = workers.map((options, index) => createWorker({ site, number: index + 1, makeSaved, ...options }));
    for (const worker of site.workers) {
        await worker.listen();
        worker.start(false);
    }
    const run = fs.readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8").match(/^run = "(.*)"$/m)[1].split(" ");
    const template = fs.readFileSync(path.join(ROOT, "deploy/settings.toml"), "utf8");
    for (let number = 1; number <= instances; number++) {
        const ip = site.ip(number);
        const name = `front-burnaby-a-${number}`;
        const storeAddress = `${site.ip(200 + number)}:8524`;
        await site.store.openFor(storeAddress, closers, body => onTransact(name, body));
        const settings = path.join(folder, `${name}.toml`);
        fs.writeFileSync(
            settings,
            fillTemplate(template, {
                node: name,
                zone: site.zone,
                ip,
                listen: { front: `${ip}:8521`, ready: `${ip}:8523` },
                "port-range": { 0: 7000, 1: 7001 },
                "heartbeat-ms": HEARTBEAT_MS,
                limits: { "cpu-share": 0.675, cores: 1, "memory-mb": 350, "max-fds": 4100 },
                platform: { address: storeAddress, "row-bytes": ROW_BYTES },
                cloud: cloud ? { address: site.cloudAddress } : {},
                bounds: BOUNDS,
            }),
        );
        let child;
        const instance = {
            name,
            /** How often its process has ended by itself. */
            ownEnds: 0,
            log: path.join(folder, `${name}.log`),
            front: `${ip}:8521`,
            ready: `${ip}:8523`,
            start: () => {
                const log = fs.openSync(path.join(folder, `${name}.log`), "a");
                child = childProcess.spawn(process.execPath, run.slice(1), {
                    cwd: ROOT,
                    env: { PATH: process.env.PATH, HOME: process.env.HOME, PLANTAINCHUTE_CONFIG: settings },
                    stdio: ["ignore", log, log],
                });
                fs.closeSync(log);
                record.write(`${name} starts, pid ${child.pid}`);
                const started = child;
                child.once("exit", (code, signal) => {
                    record.write(`${name} ends, pid ${started.pid}, ${signal ?? `exit code ${code}`}`);
                    if (signal === "SIGKILL" || !site.restarts) {
                        return;
                    }
                    instance.ownEnds++;
                    setTimeout(() => site.restarts && instance.start(), RESTART_MS);
                });
            },
            signal: name2 => child?.kill(name2),
            end: async () => {
                if (child && child.exitCode === null && child.signalCode === null) {
                    const exited = new Promise(resolve => child.once("exit", resolve));
                    child.kill("SIGKILL");
                    await exited;
                }
            },
        };
        site.instances.push(instance);
    }
    site.getLeader = () => {
        const lease = site.store.get("lead", "leader", "lease");
        return site.instances.find(instance => instance.name === lease?.instance && lease.holder !== "");
    };
    site.start = async () => {
        site.instances.forEach(instance => instance.start());
        const until = performance.now() + 20000;
        for (;;) {
            const ready = await Promise.all(
                site.instances.map(async instance =>
                    (await call(instance.ready, "GET", "/-/ready", { timeoutMs: 1000 })).status === 200
                ),
            );
            if (ready.every(Boolean) && site.getLeader()) {
                record.write(`all instances are ready, ${site.getLeader().name} leads`);
                return;
            }
            if (performance.now() > until) {
                throw new Error("the instances were not ready in 20 s");
            }
            await sleep(100);
        }
    };
    /** Kills the leader's process, starts it again, and gives the next leader 10 s. For the record only. */
    site.replaceLeader = async () => {
        const leader = site.getLeader();
        record.write(`${leader.name}, which leads, is killed and started again`);
        await leader.end();
        leader.start();
        await sleep(10000);
    };
    site.close = async () => {
        site.restarts = false;
        await Promise.all(site.instances.map(instance => instance.end()));
        closers.forEach(close => close());
        if (process.env.KEEP) {
            record.write(`logs are in ${folder}`);
        }
        else {
            fs.rmSync(folder, { recursive: true, force: true });
        }
    };
    return site;
}

/** One HTTP call on a connection of its own; status 0 if there was no answer. */
export function call(address, method, target, { headers = {}, body, timeoutMs = 5000, leaveAfterMs } = {}) {
    const [host, port] = address.split(":");
    const text = body === undefined ? undefined : JSON.stringify(body);
    return new Promise(resolve => {
        const req = http.request({
            host,
            port: Number(port),
            method,
            path: target,
            agent: false,
            headers: {
                ...headers,
                ...text !== undefined && {
                    "Content-Type": "application/json",
                    "Content-Length": Buffer.byteLength(text),
                },
            },
            timeout: timeoutMs,
        }, res => {
            const chunks = [];
            res.on("data", chunk => chunks.push(chunk));
            res.on("error", () => resolve({ status: 0 }));
            res.on("end", () => {
                const out = Buffer.concat(chunks).toString();
                let parsed;
                try {
                    parsed = out === "" ? undefined : JSON.parse(out);
                }
                catch {
                    parsed = undefined;
                }
                resolve({ status: res.statusCode, body: parsed, headers: res.headers });
            });
        });
        req.on("timeout", () => req.destroy(new Error("timeout")));
        if (leaveAfterMs !== undefined) {
            setTimeout(() => req.destroy(new Error("the client leaves")), leaveAfterMs).unref();
        }
        req.on("error", () => resolve({ status: 0 }));
        req.end(text);
    });
}

export const HOST = "nony24.example";
export const PREFIX = "/lohu930/";
export const DEADLINE_MS = 3000;

/** A client's call about one job; waits as long as its `Deadline-Ms` says. */
export async function ask(
    site,
    instance,
    method,
    id,
    { key = "key-a", body, deadlineMs = DEADLINE_MS, leaveAfterMs } = {},
) {
    const sentAt = site.record.now();
    const reply = await call(instance.front, method, PREFIX + id, {
        headers: { Host: HOST, Authorization: `Token ${key}`, "Deadline-Ms": String(deadlineMs) },
        body,
        timeoutMs: deadlineMs + 200,
        leaveAfterMs,
    });
    const text = reply.body === undefined ? "" : ` ${JSON.stringify(reply.body)}`;
    site.record.write(
        `client: ${method} ${id || "(count)"} at ${instance.name}, sent ${sentAt.toFixed(3)}: ${
            reply.status || "no answer"
        }${text}`,
    );
    return reply;
}

let ids = 0;
/** A job id of 16 hexadecimal digits. */
export function createId() {
    ids++;
    return (Date.now() % 2 ** 40).toString(16).padStart(10, "0") + ids.toString(16).padStart(6, "0");
}

/** The body of a job of one step, whose tasks take `ms` each. */
export function createJob(count, ms, { gpu = 1, cpu = 2800, memory = 4100, ...step } = {}) {
    return {
        spec: JSON.stringify({ ms }),
        steps: [{ count, cpu, "mem-mb": memory, gpu, "estimate-ms": ms, ...step }],
    };
}

export const WORKER_CAPACITY = { cpu: 32000, "mem-mb": 65536, gpu: 8 };

/** A configuration with one queue. */
export function createConfiguration(version, {
    service = "booking",
    services = ["booking"],
    keys = ["key-a"],
    priority = 1,
} = {}) {
    return {
        version,
        routes: [{
            name: "route-plan",
            host: HOST,
            "path-prefix": PREFIX,
            service,
            priority,
            "max-attempts": 2,
            stretch: 3,
            "slo-ms": 1000,
        }],
        services: services.map(name => ({ name })),
        tenants: [{ name: "tenant-a", "api-keys": keys, guaranteed: { gpu: 8 } }],
        limits: {},
    };
}

/** Runs a case: `play` returns whether the rule held, with the reason. Ends all processes in any case. */
export async function runCase(moduleUrl, play) {
    const folder = path.dirname(url.fileURLToPath(moduleUrl));
    const record = createRecord(folder);
    const trouble = process.env.TROUBLE !== "0";
    record.write(`trouble: ${trouble}`);
    const open = [];
    let code = EXIT.CannotRun;
    const limit = setTimeout(() => {
        record.write("the case took too long");
        void finish(EXIT.CannotRun);
    }, 110000);
    let isFinishing = false;
    const finish = async result => {
        if (isFinishing) {
            return;
        }
        isFinishing = true;
        clearTimeout(limit);
        await Promise.all(open.map(site => site.close()));
        process.exit(result);
    };
    process.on("SIGINT", () => void finish(EXIT.CannotRun));
    process.on("SIGTERM", () => void finish(EXIT.CannotRun));
    try {
        const result = await play({
            record,
            trouble,
            open: async options => {
                const site = await openSite({ record, ...options });
                open.push(site);
                return site;
            },
        });
        record.write(`${result.kind}: ${result.why}`);
        process.stdout.write(`${result.kind}: ${result.why}\n`);
        code = { held: EXIT.Held, broken: EXIT.Broken, cannotRun: EXIT.CannotRun }[result.kind];
    }
    catch (err) {
        record.write(`cannot run: ${err.stack ?? err}`);
        process.stdout.write(`cannot run: ${err.message}\n`);
    }
    await finish(code);
}
