// Stand-in of the platform's machines, as PROTOCOL.md describes them ("Machines"): the list, and the upkeep of one
// machine, which ends its worker at once; a new one joins after `upkeepMs`. It checks no fences.
import http from "node:http";

const ANSWER_MS = 10;

/**
 * `machines` are objects with `id`, `number`, `kind` and `worker`. `getNextId(machine)` names the machine's next worker.
 * `isSilent()` tells whether an answer is lost now: the call is carried out all the same.
 */
export function createCloud({ site, machines, upkeepMs, getNextId, isSilent }) {
    const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
    const done = new Set();
    const beginUpkeep = ({ machine: id, wave }) => {
        const machine = machines.find(other => other.id === id);
        if (!machine) {
            return { status: 400 };
        }
        const key = `${wave} ${id}`;
        if (done.has(key)) {
            return { status: 200, body: {} };
        }
        if (machine.state !== "up") {
            return { status: 409, body: { reason: "busy" } };
        }
        done.add(key);
        machine.state = "upkeep";
        site.record("upkeep", { machine: id, wave, worker: machine.worker.id });
        machine.worker.process.kill("SIGKILL");
        void site.putRow("servers", machine.worker.id, undefined);
        setTimeout(() => {
            machine.worker = site.startWorker(machine.number, { kind: machine.kind, id: getNextId(machine) });
            machine.state = "up";
            site.record("upkeepOver", { machine: id, worker: machine.worker.id });
        }, upkeepMs);
        return { status: 200, body: {} };
    };
    const list = () => ({
        status: 200,
        body: {
            machines: machines.map(machine => ({
                machine: machine.id,
                pool: "booking",
                state: machine.state,
                zone: machine.zone,
                labels: [machine.kind, machine.rack],
                capacity: { cpu: 32_000, "mem-mb": 65_536, gpu: 8 },
                id: machine.state === "up" ? machine.worker.id : undefined,
            })),
        },
    });
    const server = http.createServer((req, res) => {
        const chunks = [];
        req.on("error", () => undefined);
        req.on("data", chunk => chunks.push(chunk));
        req.on("end", async () => {
            const body = Buffer.concat(chunks).toString();
            const reply = req.method === "GET" ? list() : beginUpkeep(JSON.parse(body));
            const isLost = isSilent(req.method);
            site.record("cloud", { call: `${req.method} ${req.url}`, body, status: reply.status, isLost });
            if (isLost) {
                return;
            }
            await sleep(ANSWER_MS);
            const out = reply.body === undefined ? "" : JSON.stringify(reply.body);
            res.writeHead(reply.status, {
                "Content-Type": "application/json",
                "Content-Length": Buffer.byteLength(out),
            });
            res.end(out);
        });
    });
    server.keepAliveTimeout = 0;
    const [host, port] = site.cloud.split(":");
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(Number(port), host, () => resolve(server));
    });
}
