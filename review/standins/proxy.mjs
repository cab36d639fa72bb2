// A proxy before one worker, which can hold an order back: its sender gets no answer, and the order is carried out later,
// by whatever listens at the worker's address then.
import http from "node:http";

/** `getHoldMs(path, body)` returns how long to hold an order back; `undefined` passes it on at once. */
export function createProxy({ listen, target, getHoldMs, record }) {
    const agent = new http.Agent({ keepAlive: true });
    const [targetHost, targetPort] = target.split(":");
    const forward = (method, path, headers, body, onAnswer, onError) => {
        const req = http.request({ host: targetHost, port: targetPort, method, path, headers, agent }, res => {
            const chunks = [];
            res.on("data", chunk => chunks.push(chunk));
            res.on("error", onError);
            res.on("end", () => onAnswer(res, Buffer.concat(chunks)));
        });
        req.on("error", onError);
        req.end(body);
        return req;
    };
    const server = http.createServer((req, res) => {
        const chunks = [];
        req.on("data", chunk => chunks.push(chunk));
        req.on("error", () => undefined);
        req.on("end", () => {
            const body = Buffer.concat(chunks);
            const { host: _, connection: __, ...headers } = req.headers;
            const holdMs = getHoldMs(req.url, body.toString());
            if (holdMs !== undefined) {
                record("held", { path: req.url, order: body.toString(), holdMs });
                setTimeout(() => {
                    forward(
                        req.method,
                        req.url,
                        headers,
                        body,
                        (answer, text) =>
                            record("deliveredLate", { status: answer.statusCode, answer: text.toString() }),
                        err => record("deliveredLate", { error: err.message }),
                    );
                }, holdMs);
                return;
            }
            const forwarded = forward(req.method, req.url, headers, body, (answer, text) => {
                res.writeHead(answer.statusCode, answer.headers);
                res.end(text);
            }, () => res.destroy());
            res.on("close", () => forwarded.destroy());
        });
    });
    server.keepAliveTimeout = 0;
    const [host, port] = listen.split(":");
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(Number(port), host, () => resolve(server));
    });
}
