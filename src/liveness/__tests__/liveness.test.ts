import * as net from "node:net";
import * as clocks from "../../clock/index";
import * as inboundFixtures from "../../inbound/__tests__/fixtures";
import * as liveness from "../index";

/** A port below 32,768: the system may assign higher ones to outgoing connections. */
const CLOSED_PORT = 20_000 + (process.pid % 12_000);

describe("liveness of a process", () => {
    const clock = clocks.createSystemClock();
    const inbound = inboundFixtures.createInbound(clock);
    afterAll(inbound.close);
    let leading = false;

    test("a process whose connections close and that refuses new ones has exited", async () => {
        const server = liveness.createLivenessServer({ clock, inbound, isLeading: () => leading });
        const address = `127.0.0.1:${await server.listen("127.0.0.1:0")}`;
        const exited = new Promise<void>(resolve => {
            liveness.watchProcess({ clock, address, ownAddress: "", onExit: resolve });
        });
        // The watch must be connected before the server closes.
        await new Promise(resolve => setTimeout(resolve, 100));
        server.close();
        await exited;
    });

    test("a refusal without an earlier connection is no exit: the process may not have started yet", async () => {
        let exited = false;
        const watch = liveness.watchProcess({
            clock,
            address: `127.0.0.1:${CLOSED_PORT}`,
            ownAddress: "",
            onExit: () => {
                exited = true;
            },
        });
        await new Promise(resolve => setTimeout(resolve, 700));
        watch.end();
        expect(exited).toBe(false);
    });

    test("a process learns the addresses of its watchers", async () => {
        const server = liveness.createLivenessServer({ clock, inbound, isLeading: () => leading });
        const address = `127.0.0.1:${await server.listen("127.0.0.1:0")}`;
        const ends = ["10.0.0.1:7001", "no address", "10.0.0.2:7001"].map(ownAddress =>
            liveness.watchProcess({ clock, address, ownAddress, onExit: () => undefined })
        );
        while (server.getWatcherAddresses().length < 2) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        ends.forEach(watch => watch.end());
        server.close();
        expect([...server.getWatcherAddresses()].sort()).toEqual(["10.0.0.1:7001", "10.0.0.2:7001"]);
    });

    test("only a leader sends heartbeats", async () => {
        leading = false;
        const server = liveness.createLivenessServer({ clock, inbound, isLeading: () => leading });
        const address = `127.0.0.1:${await server.listen("127.0.0.1:0")}`;
        const watch = liveness.watchProcess({ clock, address, ownAddress: "10.0.0.1:1", onExit: () => undefined });
        while (server.getWatcherAddresses().length === 0) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        expect(watch.getHeartbeatAgeMs()).toBeUndefined();
        leading = true;
        while (watch.getHeartbeatAgeMs() === undefined) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        watch.end();
        server.close();
    });

    // Guards against strangers who take the heartbeats from the followers, which then suspect a leader that is well.
    test("connections that send no address get no heartbeats in place of watchers", async () => {
        leading = true;
        const server = liveness.createLivenessServer({ clock, inbound, isLeading: () => leading });
        const port = await server.listen("127.0.0.1:0");
        const strangers = Array.from({ length: 45 }, () => net.connect(port, "127.0.0.1"));
        await Promise.all(strangers.map(stranger => new Promise(resolve => stranger.once("connect", resolve))));
        const address = `127.0.0.1:${port}`;
        const watch = liveness.watchProcess({ clock, address, ownAddress: "10.0.0.1:1", onExit: () => undefined });
        for (let checks = 0; checks < 400 && watch.getHeartbeatAgeMs() === undefined; checks++) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        const ageMs = watch.getHeartbeatAgeMs();
        watch.end();
        strangers.forEach(stranger => stranger.destroy());
        server.close();
        expect(ageMs).toBeDefined();
    });
});
