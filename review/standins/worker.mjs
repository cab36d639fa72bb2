// Stand-in of one worker, as PROTOCOL.md describes it ("Running tasks", "Service discovery"). It runs tasks in name
// only. It guards nothing (`admission-check` is false), keeps a lease, fence, runs and ends, and enters itself in the
// store. What it does with a run stands in the run's `spec`: a JSON object with `ms`, the time that the work takes, and
// `crashMs` for a task that crashes its worker after that time. While the file `slowFile` names the worker, what it
// starts takes as many times as long as the file says.
//
// node worker.mjs SETTINGS, a JSON object with: id, address, service, zone, kind, rack, capacity, store, maxHoldMs, stopMs,
// slowFile, record, and born if the worker may start again under its id.
import fs from "node:fs";
import http from "node:http";

const settings = JSON.parse(process.argv[2]);
const HEARTBEAT_MS = 1_500;
const MAX_WAIT_MS = 2_000;
const MAX_ENDS = 500;

const startedAt = performance.now();
const born = settings.born ? Date.now() : undefined;
const getClock = () => Math.floor(performance.now() - startedAt) + 1_000;

let fence = 0;
let leaseUntil = 0;
let leaseTimer;
let endNumber = 0;
/** Runs by task. */
const running = new Map();
let ended = [];
/** Highest run that was stopped or has ended here, by task. */
const closed = new Map();
const waiters = new Set();

const write = (event, fields) =>
    fs.appendFileSync(
        settings.record,
        `${JSON.stringify({ at: Date.now(), worker: settings.id, event, ...fields })}\n`,
    );

function end(entry, how, saved = entry.saved) {
    if (running.get(entry.task) !== entry) {
        return;
    }
    clearTimeout(entry.timer);
    running.delete(entry.task);
    closed.set(entry.task, Math.max(closed.get(entry.task) ?? 0, entry.run));
    ended.push([++endNumber, entry.task, entry.run, how, saved]);
    write("end", { task: entry.task, run: entry.run, how });
    [...waiters].forEach(wake => wake());
}

function extendLease(deadline) {
    if (typeof deadline !== "number") {
        return;
    }
    const next = Math.min(deadline, getClock() + settings.maxHoldMs);
    if (next <= leaseUntil) {
        return;
    }
    leaseUntil = next;
    clearTimeout(leaseTimer);
    leaseTimer = setTimeout(() => {
        [...running.values()].forEach(entry => end(entry, "lapsed"));
    }, leaseUntil - getClock());
}

/** Whether the call comes from a leader that has been succeeded; otherwise its token counts from now on. */
function isFenced(token = 0) {
    if (token < fence) {
        return true;
    }
    fence = token;
    return false;
}

function getSlowdown() {
    if (!settings.slowFile || !fs.existsSync(settings.slowFile)) {
        return 1;
    }
    return JSON.parse(fs.readFileSync(settings.slowFile, "utf8"))[settings.id] ?? 1;
}

const refuse = reason => ({ status: 409, body: { "clock-ms": getClock(), reason } });
const accept = () => ({ status: 200, body: { "clock-ms": getClock() } });

function start(body) {
    const { task, run, spec = "", saved = "" } = body;
    if (isFenced(body["fence-token"])) {
        return refuse("fence");
    }
    if (running.get(task)?.run === run) {
        extendLease(body["deadline-ms"]);
        return accept();
    }
    if (run <= (closed.get(task) ?? 0)) {
        extendLease(body["deadline-ms"]);
        return refuse("old");
    }
    if (!(body["deadline-ms"] > getClock())) {
        return refuse("late");
    }
    extendLease(body["deadline-ms"]);
    const slowdown = getSlowdown();
    const { ms, crashMs } = JSON.parse(spec);
    const work = { ms: ms * slowdown };
    const entry = { task, run, saved, work, startedAt: performance.now() };
    entry.timer = setTimeout(() => end(entry, "done", ""), work.ms);
    if (crashMs !== undefined) {
        setTimeout(() => {
            if (running.get(task) === entry) {
                write("crash", { task, run });
                process.kill(process.pid, "SIGKILL");
            }
        }, crashMs * slowdown);
    }
    running.set(task, entry);
    write("start", { task, run, slowdown });
    return accept();
}

function stop({ task, run, ...body }) {
    if (isFenced(body["fence-token"])) {
        return refuse("fence");
    }
    closed.set(task, Math.max(closed.get(task) ?? 0, run));
    const entry = running.get(task);
    if (entry?.run === run) {
        write("stop", { task, run });
        setTimeout(() => end(entry, "stopped"), settings.stopMs / 2);
    }
    return accept();
}

async function hold(body) {
    if (isFenced(body["fence-token"])) {
        return refuse("fence");
    }
    ended = ended.filter(([number]) => number > (body["seen-upto"] ?? 0));
    extendLease(body["deadline-ms"]);
    const waitMs = Math.min(MAX_WAIT_MS, body["wait-ms"] ?? 0);
    if (ended.length === 0 && waitMs > 0) {
        await new Promise(resolve => {
            const finish = () => {
                waiters.delete(finish);
                clearTimeout(timer);
                resolve();
            };
            const timer = setTimeout(finish, waitMs);
            waiters.add(finish);
        });
    }
    const rows = [...running.values()].map(({ task, run, saved, work, startedAt: since }) => {
        const percent = Math.min(99, Math.floor(100 * (performance.now() - since) / work.ms));
        return [task, run, saved, percent, 1_000];
    });
    return { status: 200, body: { "clock-ms": getClock(), born, running: rows, ended: ended.slice(0, MAX_ENDS) } };
}

async function handle(req, res) {
    const chunks = [];
    for await (const chunk of req) {
        chunks.push(chunk);
    }
    const target = req.headers["target-instance"];
    let reply;
    if (target !== undefined && target !== settings.id) {
        reply = { status: 421 };
    }
    else if (req.method === "GET") {
        reply = { status: 200 };
    }
    else {
        const body = JSON.parse(Buffer.concat(chunks).toString());
        switch (req.url) {
            case "/-/run-start":
                reply = start(body);
                break;
            case "/-/run-stop":
                reply = stop(body);
                break;
            case "/-/hold":
                reply = await hold(body);
                break;
            case "/-/pace":
                reply = isFenced(body["fence-token"]) ? refuse("fence") : accept();
                break;
            default:
                reply = { status: 404 };
        }
    }
    const out = reply.body === undefined ? "" : JSON.stringify(reply.body);
    res.writeHead(reply.status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(out) });
    res.end(out);
}

let seqNo = 0;
function register() {
    const entry = {
        service: settings.service,
        address: settings.publicAddress ?? settings.address,
        zone: settings.zone,
        version: "1",
        slots: 8,
        state: "ready",
        capacity: settings.capacity,
        labels: [settings.kind ?? "a", settings.rack],
        born,
        "seq-no": ++seqNo,
    };
    const value = Buffer.from(JSON.stringify(entry)).toString("base64");
    const body = JSON.stringify({ put: [{ table: "servers", part: "", key: settings.id, value }] });
    const [host, port] = settings.store.split(":");
    const req = http.request({
        host,
        port,
        method: "POST",
        path: "/-/rows-tx",
        headers: { "x-standin": "worker", "Content-Length": Buffer.byteLength(body) },
    }, res => res.resume());
    req.on("error", () => undefined);
    req.end(body);
}

const server = http.createServer((req, res) => {
    handle(req, res).catch(() => res.destroy());
});
server.keepAliveTimeout = 0;
const [host, port] = settings.address.split(":");
server.listen(Number(port), host, () => {
    write("up", { born });
    register();
    setInterval(register, HEARTBEAT_MS);
});
