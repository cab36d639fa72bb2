// A small site of real processes for a case: a store, workers, and instances of the program, started by the command of
// the deploy file with a settings file filled in as deploy/settings.toml says. All addresses are loopback addresses.
import childProcess from "node:child_process";
import fs from "node:fs";
import http from "node:http";
import net from "node:net";
import os from "node:os";
import path from "node:path";
import url from "node:url";

const FOLDER = path.dirname(url.fileURLToPath(import.meta.url));
const ROOT = path.resolve(FOLDER, "../..");
export const ZONES = ["burnaby-a", "surrey-b", "richmond-c"];
export const HOST = "nony24.example";
export const PREFIX = "/lohu930/";
export const KEY = "key-of-the-tenant";
const INSTANCE_PORTS = [8_521, 8_523, 7_000, 7_001, 9_464];
/** Figures of the first site's sheet (SYSTEM.md) and of the example in DEPLOY.md. */
export const BOUNDS = {
    maxHoldMs: 6_000,
    graceS: 6,
    upkeepS: 2,
    statusS: 120,
    configApplyMs: 2_000,
    contactMs: 3_000,
    heartbeatMs: 1_500,
    stopMs: 200,
};

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

function isFree(host, port) {
    return new Promise(resolve => {
        const server = net.createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });
}

/** Chooses a block of loopback addresses in which all ports are free. */
async function chooseBlock(instances) {
    for (let tries = 0; tries < 50; tries++) {
        const block = `127.${64 + Math.floor(Math.random() * 128)}.${Math.floor(Math.random() * 250)}`;
        const checks = [];
        for (let number = 1; number <= instances; number++) {
            INSTANCE_PORTS.forEach(port => checks.push(isFree(`${block}.${number}`, port)));
        }
        if ((await Promise.all(checks)).every(Boolean)) {
            return block;
        }
    }
    throw new Error("no free block of loopback addresses");
}

export async function createSite(
    { recordFile, instances = 3, workers = 4, bornWorkers = false, hasMachines = false, capacity },
) {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "plantainchute-review-"));
    const block = await chooseBlock(instances);
    const children = new Set();
    fs.writeFileSync(recordFile, "");
    const record = (event, fields = {}) =>
        fs.appendFileSync(recordFile, `${JSON.stringify({ at: Date.now(), event, ...fields })}\n`);

    const spawn = (args, logName, env = {}) => {
        const log = fs.openSync(path.join(folder, logName), "a");
        const child = childProcess.spawn(process.execPath, args, {
            cwd: ROOT,
            env: { PATH: process.env.PATH, HOME: folder, LANG: "C", ...env },
            stdio: ["ignore", log, log],
        });
        fs.closeSync(log);
        children.add(child);
        child.once("exit", (code, signal) => {
            children.delete(child);
            record("exit", { process: logName, pid: child.pid, code, signal });
        });
        return child;
    };
    const endAll = () => children.forEach(child => child.kill("SIGKILL"));
    process.once("exit", endAll);
    for (const signal of ["SIGINT", "SIGTERM"]) {
        process.once(signal, () => process.exit(2));
    }

    const store = `${block}.100:7100`;
    /** The address of the platform's machines; a case that has them listens there. */
    const cloud = `${block}.101:8524`;
    spawn([path.join(FOLDER, "store.mjs"), store], "store.txt");

    const call = (address, method, requestPath, { body, headers = {}, timeoutMs = 3_000 } = {}) =>
        new Promise(resolve => {
            const [host, port] = address.split(":");
            const text = body === undefined ? "" : JSON.stringify(body);
            const req = http.request({
                host,
                port,
                method,
                path: requestPath,
                agent: false,
                headers: {
                    ...headers,
                    ...(text && { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) }),
                },
            }, res => {
                const chunks = [];
                res.on("data", chunk => chunks.push(chunk));
                res.on("error", err => finish({ status: 0, why: err.message }));
                res.on("end", () => {
                    const answer = Buffer.concat(chunks).toString();
                    let parsed;
                    try {
                        parsed = JSON.parse(answer);
                    }
                    catch {
                        parsed = undefined;
                    }
                    finish({ status: res.statusCode, body: parsed });
                });
            });
            const timer = setTimeout(() => req.destroy(new Error("no answer in time")), timeoutMs);
            const finish = result => {
                clearTimeout(timer);
                resolve(result);
            };
            req.on("error", err => finish({ status: 0, why: err.message }));
            req.end(text);
        });
    /** Writes as the operator, the platform or a worker does; without a value it removes the row. */
    const putRow = async (table, key, value) => {
        const row = { table, part: "", key };
        const put = value === undefined
            ? []
            : [{ ...row, value: Buffer.from(JSON.stringify(value)).toString("base64") }];
        const remove = value === undefined ? [row] : [];
        for (let tries = 0; tries < 50; tries++) {
            const answer = await call(store, "POST", "/-/rows-tx", {
                body: { put, remove },
                headers: { "x-standin": "operator" },
            });
            if (answer.status === 200) {
                return;
            }
            await sleep(100);
        }
        throw new Error("the store does not answer");
    };
    const getRow = async (table, part, key) => {
        const answer = await call(store, "GET", `/-/rows-get?table=${table}&part=${part}&from=${key}&limit=1`);
        const row = answer.body?.rows?.[0];
        return row?.key === key ? JSON.parse(Buffer.from(row.value, "base64").toString()) : undefined;
    };
    const config = {
        version: 7,
        routes: [{
            name: "slot-confirm",
            host: HOST,
            "path-prefix": PREFIX,
            service: "booking",
            priority: 1,
            "max-attempts": 4,
            stretch: 3,
            "slo-ms": 1_000,
        }],
        services: [{ name: "booking" }],
        tenants: [{ name: "tenant-1", "api-keys": [KEY], guaranteed: { gpu: 8 } }],
        limits: {
            "max-header-bytes": 16_384,
            "max-body-bytes": 262_144,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
    };
    await putRow("op", "config", config);

    const startWorker = (number, { publicAddress, kind, id = `srv${number}f3a9` } = {}) => {
        const address = `${block}.${150 + number}:9000`;
        const process_ = spawn([
            path.join(FOLDER, "worker.mjs"),
            JSON.stringify({
                id,
                address,
                publicAddress,
                service: "booking",
                kind,
                zone: ZONES[number % ZONES.length],
                rack: `r1-${Math.floor(number / 8)}`,
                capacity: capacity ?? { cpu: 32_000, "mem-mb": 65_536, gpu: 8 },
                store,
                maxHoldMs: BOUNDS.maxHoldMs,
                stopMs: BOUNDS.stopMs,
                born: bornWorkers || undefined,
                slowFile: path.join(folder, "slow.json"),
                record: recordFile,
            }),
        ], `worker-${number}.txt`);
        return { id, address, process: process_ };
    };
    const startInstance = number => {
        const name = `front-${ZONES[(number - 1) % ZONES.length]}-${number}`;
        const ip = `${block}.${number}`;
        const file = path.join(folder, `${name}.toml`);
        // The lines of deploy/settings.toml, filled in.
        fs.writeFileSync(
            file,
            [
                `instance = "${name}"`,
                `zone = "${ZONES[(number - 1) % ZONES.length]}"`,
                `address = "${ip}"`,
                `callers = "${ip}:8521"`,
                `readiness = "${ip}:8523"`,
                `watch = "${ip}:7000"`,
                `peers = "${ip}:7001"`,
                "enabled = [\"learnedDurations\", \"workerSpeeds\", \"gangExposure\", \"departures\"]",
                "cpuShare = 0.675",
                "coreSpeed = 1",
                `store = "${store}"`,
                "rowBytes = 65536",
                ...(hasMachines ? [`machines = "${cloud}"`] : []),
                "[bounds]",
                `maxLeaseMs = ${BOUNDS.maxHoldMs}`,
                `graceSeconds = ${BOUNDS.graceS}`,
                `upkeepSeconds = ${BOUNDS.upkeepS}`,
                `statusSeconds = ${BOUNDS.statusS}`,
                `configurationMs = ${BOUNDS.configApplyMs}`,
                `contactMs = ${BOUNDS.contactMs}`,
                `reportMs = ${BOUNDS.heartbeatMs}`,
                "",
            ].join("\n"),
        );
        // The command of deploy/system.toml.
        const child = spawn(
            ["--max-old-space-size=160", "--max-semi-space-size=4", "target/platform/main.js"],
            `${name}.txt`,
            { PLANTAINCHUTE_CONFIG: file },
        );
        return { name, ip, number, process: child, front: `${ip}:8521`, ready: `${ip}:8523` };
    };
    const workerList = Array.from({ length: workers }, (_, number) => number);
    const headers = { Host: HOST, Authorization: `Token ${KEY}`, "Deadline-Ms": "3000" };
    const site = {
        folder,
        block,
        store,
        cloud,
        record,
        startWorker,
        startInstance,
        putRow,
        getRow,
        call,
        workers: [],
        instances: [],
        start: async (startOne = startWorker) => {
            for (const number of workerList) {
                site.workers.push(await startOne(number));
            }
            for (let number = 1; number <= instances; number++) {
                site.instances.push(startInstance(number));
            }
            const until = Date.now() + 15_000;
            for (const instance of site.instances) {
                while ((await call(instance.ready, "GET", "/-/ready", { timeoutMs: 500 })).status !== 200) {
                    if (Date.now() > until) {
                        throw new Error(`${instance.name} is not ready`);
                    }
                    await sleep(100);
                }
            }
        },
        getLeaderName: async () => (await getRow("lead", "leader", "lease"))?.instance,
        /** A client: it retries at the next instance after no answer, a 502 or a 504, and after 429 or 503, up to 4 times. */
        submit: async (id, job, first = 0) => {
            for (let tries = 0; tries < 5; tries++) {
                const instance = site.instances[(first + tries) % site.instances.length];
                const answer = await call(instance.front, "POST", PREFIX + id, { body: job, headers });
                record("post", { id, to: instance.name, status: answer.status, why: answer.why });
                if (answer.status === 200 || answer.status === 400) {
                    return answer.status;
                }
                await sleep(1_000);
            }
            return 0;
        },
        /** Asks one instance for the state of a job, once, for as long as a client waits. */
        getStateAt: async (instance, id) => {
            const answer = await call(instance.front, "GET", PREFIX + id, { headers });
            const state = answer.body?.state;
            record("get", { id, to: instance.name, status: answer.status, state, why: answer.why });
            return { status: answer.status, state };
        },
        readRecord: () => fs.readFileSync(recordFile, "utf8").split("\n").filter(Boolean).map(line => JSON.parse(line)),
        close: async () => {
            endAll();
            while (children.size > 0) {
                await sleep(20);
            }
            if (!process.env.KEEP) {
                fs.rmSync(folder, { recursive: true, force: true });
            }
        },
    };
    return site;
}

let lastId = 0;
/** An id as clients choose it: 16 hexadecimal digits. */
export function createId() {
    lastId++;
    return (BigInt(Date.now()) * 1_000n + BigInt(lastId)).toString(16).padStart(16, "0").slice(-16);
}
