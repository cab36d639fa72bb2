import * as clocks from "../../clock/index";
import type * as relay from "../index";
import * as undecidedSubmissions from "../undecidedSubmissions";

const POST: relay.CallerRequest = {
    method: "POST",
    path: "/q/1",
    host: "h",
    authorization: "Token key",
    requestId: "r",
    deadlineMs: 3_000,
    body: "{}",
};
const MINUTE_MS = 60_000;

interface Case {
    readonly name: string;
    /** Statuses of earlier copies; `undefined` for one that is still being served. */
    readonly earlier: ReadonlyArray<number | undefined>;
    readonly afterMs?: number;
    readonly request?: Partial<relay.CallerRequest>;
    readonly status: number;
    readonly expected: number;
}

const cases: readonly Case[] = [
    ...[400, 401, 404, 429, 503].map(status => ({
        name: `with ${status} is withheld after an undecided copy`,
        earlier: [504],
        status,
        expected: 504,
    })),
    { name: "is withheld while another copy is being served", earlier: [undefined], status: 503, expected: 504 },
    { name: "is passed on without an earlier copy", earlier: [], status: 503, expected: 503 },
    { name: "is passed on after a copy that was refused for certain", earlier: [503], status: 503, expected: 503 },
    { name: "is passed on after one that was accepted later", earlier: [504, 200], status: 503, expected: 503 },
    { name: "is passed on a minute later", earlier: [504], afterMs: MINUTE_MS + 1, status: 503, expected: 503 },
    { name: "of another job is passed on", earlier: [504], request: { path: "/q/2" }, status: 503, expected: 503 },
    { name: "of a query is passed on", earlier: [504], request: { method: "GET" }, status: 503, expected: 503 },
];

// Guards against callers that are told that their job never runs, and whose earlier submission is then stored late.
describe("a refusal", () => {
    test.each(cases)("$name", async ({ earlier, afterMs = 0, request, status, expected }) => {
        const time = clocks.createManualClock();
        const submissions = undecidedSubmissions.createUndecidedSubmissions({
            clock: time,
            log: { info: () => undefined, warn: () => undefined, error: () => undefined },
            meter: { increment: () => undefined, record: () => undefined, registerGauges: () => () => undefined },
        });
        for (const other of earlier) {
            const served = submissions.serve(
                POST,
                () => other === undefined ? new Promise(() => undefined) : Promise.resolve({ status: other }),
            );
            await (other === undefined ? undefined : served);
        }
        await time.advance(afterMs);
        const reply = await submissions.serve({ ...POST, ...request }, async () => ({ status }));
        expect(reply.status).toBe(expected);
    });
});
