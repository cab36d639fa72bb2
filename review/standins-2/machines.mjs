/** Stand-in of the platform's machine service: lists machines, and takes them down for upkeep. */
import { BOUNDS, listen, now, record, sleep } from "./site.mjs";

/**
 * `createLife(machine, number)` starts the worker of a machine's next life. `onUpkeep(machine, wave)` is called when an
 * upkeep has begun; `isAway()` says that the service is unavailable: calls get no answer and nothing is done.
 */
export async function createMachineService(
    site,
    { host, machines, createLife, onUpkeep = () => {}, isAway = () => false },
) {
    const known = new Map();
    for (const machine of machines) {
        known.set(machine.machine, { ...machine, state: "up", life: 1, worker: await createLife(machine, 1) });
    }
    const doneBy = new Map();
    const begin = (machine, wave) => {
        doneBy.set(`${machine.machine} ${wave}`, now());
        record("machine.upkeep", { machine: machine.machine, wave, worker: machine.worker.name });
        machine.state = "upkeep";
        machine.worker.leave();
        machine.worker = undefined;
        setTimeout(async () => {
            machine.life++;
            machine.worker = await createLife(machine, machine.life);
            machine.state = "up";
            record("machine.up", { machine: machine.machine, worker: machine.worker.name });
        }, BOUNDS.upkeepSeconds * 1_000).unref();
        onUpkeep(machine.machine, wave);
    };
    const order = ({ machine: id, wave }, holder, fence) => {
        const machine = known.get(id);
        if (!machine) {
            return { status: 400 };
        }
        if (!site.store.get("op", `wave/${wave}`)?.machines.includes(id)) {
            return { status: 409, body: { reason: "wave" } };
        }
        if (doneBy.has(`${id} ${wave}`)) {
            return { status: 200, body: {} };
        }
        if (machine.state !== "up") {
            return { status: 409, body: { reason: "busy" } };
        }
        begin(machine, wave);
        return { status: 200, body: {} };
    };
    const server = await listen(host, async ({ call, body, headers }) => {
        if (isAway()) {
            record("machines.unavailable", { call, ...body });
            return undefined;
        }
        await sleep(10);
        switch (call) {
            case "GET /-/machines":
                return {
                    status: 200,
                    body: {
                        machines: [...known.values()].map(({ machine, pool, state, zone, labels, worker }) => ({
                            machine,
                            pool,
                            state,
                            zone,
                            labels,
                            capacity: { cpu: 32_000, "mem-mb": 65_536, gpu: 8 },
                            id: worker?.name,
                        })),
                    },
                };
            case "POST /-/machine-upkeep": {
                const reply = order(body);
                record("machines.order", {
                    ...body,
                    holder: headers["lease-holder"],
                    fence: headers["fence-token"],
                    status: reply.status,
                    reason: reply.body?.reason,
                    answered: !isAway(),
                });
                // An outage that begins now takes the answer with it.
                return isAway() ? undefined : reply;
            }
            default:
                return { status: 404 };
        }
    });
    return {
        address: server.address,
        /** When the machine began its upkeep for the wave; `undefined` if it has not. */
        getUpkeepAt: (machine, wave) => doneBy.get(`${machine} ${wave}`),
        getWorkerName: machine => known.get(machine).worker?.name,
        /** The machine's worker has crashed, and the machine stays down. */
        setDown: machine => Object.assign(known.get(machine), { state: "down", worker: undefined }),
        getState: machine => known.get(machine).state,
    };
}
