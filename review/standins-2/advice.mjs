/**
 * Stand-in of the advice service: one call at a time for each calling machine, in turn; 429 when 32 are waiting. A call
 * that was taken is carried out, also if its caller has hung up since; `ABANDONED=drop` skips such calls.
 */
import { listen, now, record, sleep } from "./site.mjs";

const MAX_WAITING = 32;

/** `isGood(step, worker)` is the queue's policy. Tickets are checked by `site.checkTicket`. */
export async function createAdviceService(site, { host, decideMs, eachMs, validMs, isGood }) {
    const lines = new Map();
    const tickets = new Map();
    const stats = { calls: 0, answered: 0, refused: 0 };
    site.checkTicket = (worker, { task, ticket }) => {
        const step = task.slice(0, task.lastIndexOf("."));
        const known = tickets.get(ticket);
        return known && known.step === step && known.worker === worker && now() < known.until ? undefined : "ticket";
    };
    const server = await listen(host, async ({ call, body, from, isAbandoned }) => {
        if (call !== "POST /-/advise") {
            return { status: 404 };
        }
        stats.calls++;
        const line = lines.get(from) ?? { waiting: 0, last: Promise.resolve() };
        lines.set(from, line);
        const arrivedAt = now();
        if (line.waiting >= MAX_WAITING) {
            stats.refused++;
            record("advice.refused", { step: body.step });
            return { status: 429 };
        }
        line.waiting++;
        const before = line.last;
        let done;
        line.last = new Promise(resolve => {
            done = resolve;
        });
        await before;
        line.waiting--;
        if (process.env.ABANDONED === "drop" && isAbandoned()) {
            done();
            return undefined;
        }
        await sleep(decideMs + eachMs * body.workers.length);
        done();
        const good = body.workers.filter(worker => isGood(body.step, worker)).map(worker => {
            const ticket = `t${tickets.size + 1}`;
            tickets.set(ticket, { step: body.step, worker, until: now() + validMs });
            return [worker, ticket];
        });
        stats.answered++;
        record("advice.answered", {
            step: body.step,
            workers: body.workers.length,
            good: good.length,
            tookMs: Math.round(now() - arrivedAt),
        });
        return { status: 200, body: { good, "valid-ms": validMs } };
    });
    return { address: server.address, stats };
}
