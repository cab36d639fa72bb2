import * as calls from "../../../calls/index";
import * as clocks from "../../../clock/index";
import * as inboundFixtures from "../../../inbound/__tests__/fixtures";
import * as leader from "../../index";

const OFFER: leader.HandoverOffer = { holder: "a-1", token: 7 };
const TIMEOUT_MS = 5_000;

async function openCandidate(candidacy: leader.Candidacy | undefined) {
    const asked: leader.HandoverOffer[] = [];
    const taken: leader.HandoverOffer[] = [];
    const inbound = inboundFixtures.createInbound(clocks.createSystemClock());
    const server = calls.createCallServer(
        inbound,
        leader.createHandoverRoutes({
            answerOffer: async offer => {
                asked.push(offer);
                return candidacy;
            },
            acceptHandover: offer => {
                taken.push(offer);
            },
        }),
    );
    const address = `127.0.0.1:${await server.listen("127.0.0.1:0")}`;
    const client = calls.createHttpClient(1);
    return {
        address,
        asked,
        taken,
        client,
        port: leader.createHandoverPort(client, () => [address]),
        close: async () => {
            client.close();
            await server.close();
            inbound.close();
        },
    };
}

describe("handover calls between two processes", () => {
    const answers: ReadonlyArray<readonly [name: string, candidacy: leader.Candidacy | undefined]> = [
        ["that can lead", { power: 0.675 }],
        ["that cannot lead", undefined],
    ];
    test.each(answers)("an instance %s answers so", async (_name, candidacy) => {
        const other = await openCandidate(candidacy);
        expect(await other.port.queryCandidate(other.address, OFFER, TIMEOUT_MS)).toEqual(candidacy);
        await other.close();
        expect(other.asked).toEqual([OFFER]);
    });

    test("the successor is notified of the term that has ended", async () => {
        const other = await openCandidate({ power: 1 });
        await other.port.notifySuccessor(other.address, OFFER, TIMEOUT_MS);
        await other.close();
        expect(other.taken).toEqual([OFFER]);
    });

    test("an instance that does not answer cannot lead", async () => {
        const other = await openCandidate({ power: 1 });
        await other.close();
        const client = calls.createHttpClient(1);
        const port = leader.createHandoverPort(client, () => []);
        expect(await port.queryCandidate(other.address, OFFER, TIMEOUT_MS)).toBeUndefined();
        client.close();
    });

    const malformed = ["", "null", "{}", "{\"holder\":\"\",\"token\":1}", "{\"holder\":\"a\",\"token\":\"1\"}"];
    test.each(malformed.map(text => ({ text })))("a malformed offer is refused: $text", async ({ text }) => {
        const other = await openCandidate({ power: 1 });
        for (const path of ["/lead/ask", "/lead/take", "/nowhere"]) {
            const outcome = await other.client.call({
                address: other.address,
                method: "POST",
                path,
                body: text,
                timeoutMs: TIMEOUT_MS,
            });
            expect(outcome).toMatchObject({ kind: "answered", status: 400 });
        }
        await other.close();
        expect([other.asked, other.taken]).toEqual([[], []]);
    });
});
