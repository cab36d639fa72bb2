import * as http from "node:http";
import type * as net from "node:net";
import * as httpClient from "../httpClient";

// Guards against a log that cannot tell a silent server from a call that was never sent to it.
test("a call that times out says whether it had a connection", async () => {
    const server = http.createServer(() => undefined);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    const client = httpClient.createHttpClient(1);
    const call = (timeoutMs: number) => client.call({ address, method: "GET", path: "/", timeoutMs });
    const [first, second] = await Promise.all([call(200), call(50)]);
    client.close();
    server.closeAllConnections();
    server.close();
    expect(first).toMatchObject({ kind: "noAnswer", sent: true, message: expect.stringMatching(/^no answer within/) });
    expect(second).toMatchObject({ kind: "noAnswer", sent: false, message: expect.stringMatching(/^not sent within/) });
});
