import * as liveness from "../index";

const PORT_BASE = 20_000 + (process.pid % 20_000);

describe("liveness of a process", () => {
    test("a process whose connections close and that refuses new ones is gone", async () => {
        const address = `127.0.0.1:${PORT_BASE}`;
        const server = liveness.createLivenessServer();
        await server.listen(address);
        const gone = new Promise<void>(resolve => {
            liveness.watchProcess({ address, onGone: resolve });
        });
        // The watch needs a moment to connect; closing before that would prove nothing.
        await new Promise(resolve => setTimeout(resolve, 100));
        server.close();
        await gone;
    });

    test("a refusal alone says nothing: the process may not have started yet", async () => {
        let told = false;
        const end = liveness.watchProcess({
            address: `127.0.0.1:${PORT_BASE + 1}`,
            onGone: () => {
                told = true;
            },
        });
        await new Promise(resolve => setTimeout(resolve, 700));
        end();
        expect(told).toBe(false);
    });
});
