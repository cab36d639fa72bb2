// Stand-in of the platform's metadata store, as PROTOCOL.md describes it: rows with versions, conditional
// transactions, pages, and the feed of a table. One process, everything in memory.
//
// node store.mjs IP:PORT; further addresses may follow, all of them serve the same rows.
import http from "node:http";

const TX_MS = 5;
const PART_WRITES_PER_S = 200;
const READ_MS = 4;
const ROW_BYTES = 65_536;
const MAX_ENTRIES = 100;
const PAGE_ROWS = 500;
const PAGE_BYTES = 1_000_000;

let version = 0;
/** Rows by table, then by part and key. */
const tables = new Map();
/** Changes by table, oldest first. */
const feeds = new Map();
const waiting = new Set();
/** When each part has carried out the transactions that wait in it. */
const partFreeAt = new Map();

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
const getTable = name => tables.get(name) ?? tables.set(name, new Map()).get(name);
const getFeed = name => feeds.get(name) ?? feeds.set(name, []).get(name);
const getRowId = ({ part = "", key }) => `${part}\0${key}`;
const compareBytes = (a, b) => Buffer.compare(Buffer.from(a), Buffer.from(b));
const encode = row => ({
    table: row.table,
    part: row.part || undefined,
    key: row.key,
    value: row.value,
    ver: row.ver,
    removed: row.removed,
});

/** Carries a transaction out, all of it or nothing. The operator and the workers write through this, too. */
function commit({ conditions = [], puts = [], removals = [] }) {
    const unmet = conditions.some(row => (getTable(row.table).get(getRowId(row))?.ver ?? 0) !== (row.ver ?? 0));
    if (unmet) {
        const rows = conditions.map(row => getTable(row.table).get(getRowId(row))).filter(Boolean).map(encode);
        return { status: 412, body: { rows, ver: version, "now-ms": Math.round(performance.now()) } };
    }
    version++;
    for (const put of puts) {
        const row = { table: put.table, part: put.part ?? "", key: put.key, value: put.value ?? "", ver: version };
        getTable(row.table).set(getRowId(row), row);
        getFeed(row.table).push(row);
    }
    for (const removal of removals) {
        const id = getRowId(removal);
        if (getTable(removal.table).delete(id)) {
            const { table, part = "", key } = removal;
            getFeed(table).push({ table, part, key, value: "", ver: version, removed: true });
        }
    }
    [...waiting].forEach(check => check());
    return { status: 200, body: { ver: version, "now-ms": Math.round(performance.now()) } };
}

async function transact(body, isSystem) {
    const conditions = body["expected-rev"] ?? [];
    const puts = body.put ?? [];
    const removals = body.remove ?? [];
    const entries = [...conditions, ...puts, ...removals];
    if (entries.length > MAX_ENTRIES) {
        return { status: 400, body: { error: "too many entries" } };
    }
    if (puts.some(put => Buffer.from(put.value ?? "", "base64").length > ROW_BYTES)) {
        return { status: 400, body: { error: "a value is too long" } };
    }
    if (isSystem && [...puts, ...removals].some(row => row.table === "op" || row.table === "servers")) {
        return { status: 403 };
    }
    const parts = new Set(entries.map(row => row.part ?? ""));
    if (parts.size > 1) {
        return { status: 400, body: { error: "several parts" } };
    }
    const [part = ""] = parts;
    const now = performance.now();
    const startsAt = Math.max(now, partFreeAt.get(part) ?? 0);
    if (startsAt - now > 1_000) {
        return { status: 429 };
    }
    partFreeAt.set(part, startsAt + 1_000 / PART_WRITES_PER_S);
    await sleep(startsAt - now + TX_MS);
    return commit({ conditions, puts, removals });
}

async function read(query) {
    await sleep(READ_MS);
    const table = query.get("table") ?? "";
    const part = query.get("part") ?? "";
    const from = query.get("from");
    const target = query.get("target");
    const limit = Math.min(PAGE_ROWS, Number(query.get("limit")) || PAGE_ROWS);
    const found = [...getTable(table).values()]
        .filter(row => row.part === part)
        .filter(row => from === null || compareBytes(row.key, from) >= 0)
        .filter(row => target === null || compareBytes(row.key, target) < 0)
        .sort((a, b) => compareBytes(a.key, b.key));
    const rows = [];
    let bytes = 0;
    for (const row of found) {
        bytes += row.value.length + row.key.length;
        if (rows.length === limit || (rows.length > 0 && bytes > PAGE_BYTES)) {
            break;
        }
        rows.push(encode(row));
    }
    const hasMore = rows.length < found.length || undefined;
    return { status: 200, body: { rows, "has-more": hasMore, ver: version, "now-ms": Math.round(performance.now()) } };
}

async function follow(query, isOpen) {
    await sleep(READ_MS);
    const table = query.get("table") ?? "";
    const after = Number(query.get("after"));
    const list = () => getFeed(table).filter(row => row.ver > after);
    const until = performance.now() + Math.min(30_000, Number(query.get("wait-ms")));
    while (list().length === 0 && performance.now() < until && isOpen()) {
        await new Promise(resolve => {
            const finish = () => {
                waiting.delete(finish);
                clearTimeout(timer);
                resolve();
            };
            const timer = setTimeout(finish, Math.max(1, until - performance.now()));
            waiting.add(finish);
        });
    }
    const changed = list();
    let end = Math.min(PAGE_ROWS, changed.length);
    // A transaction is not divided between two pages.
    while (end > 0 && end < changed.length && changed[end].ver === changed[end - 1].ver) {
        end++;
    }
    const rows = changed.slice(0, end);
    const ver = end < changed.length ? rows.at(-1).ver : version;
    return { status: 200, body: { rows: rows.map(encode), ver, "now-ms": Math.round(performance.now()) } };
}

function readBody(req) {
    return new Promise(resolve => {
        const chunks = [];
        req.on("data", chunk => chunks.push(chunk));
        req.on("error", () => resolve(undefined));
        req.on("end", () => resolve(Buffer.concat(chunks).toString()));
    });
}

async function handle(req, res) {
    const text = await readBody(req);
    const url = new URL(req.url, "http://store");
    const isSystem = req.headers["x-standin"] === undefined;
    let isOpen = true;
    res.on("close", () => {
        isOpen = false;
    });
    let reply;
    switch (`${req.method} ${url.pathname}`) {
        case "POST /-/rows-tx":
            reply = await transact(JSON.parse(text), isSystem);
            break;
        case "GET /-/rows-get":
            reply = await read(url.searchParams);
            break;
        case "GET /-/rows-feed":
            reply = await follow(url.searchParams, () => isOpen);
            break;
        default:
            reply = { status: 404 };
    }
    const out = reply.body === undefined ? "" : JSON.stringify(reply.body);
    res.writeHead(reply.status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(out) });
    res.end(out);
}

const addresses = process.argv.slice(2);
for (const address of addresses) {
    const server = http.createServer((req, res) => void handle(req, res));
    server.keepAliveTimeout = 0;
    const [host, port] = address.split(":");
    server.listen(Number(port), host, () => process.stdout.write(`store listens on ${address}\n`));
}
