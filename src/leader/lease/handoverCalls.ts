/** HTTP client and routes for the handover of leadership between instances. */
import type * as calls from "../../calls/index";
import type * as handover from "./handover";

const ASK_PATH = "/lead/ask";
const TAKE_PATH = "/lead/take";
const OK = 200;
/** Encodes an instance that cannot lead; the power of a candidate is greater. */
const NO_POWER = 0;

/** Creates the client side of the handover. */
export function createHandoverPort(
    client: calls.HttpClient,
    getCandidates: () => readonly string[],
): handover.HandoverPort {
    const post = (address: string, path: string, offer: handover.HandoverOffer, timeoutMs: number) =>
        client.call({ address, method: "POST", path, body: JSON.stringify(offer), timeoutMs });
    return {
        getCandidates,
        queryCandidate: async (candidate, offer, timeoutMs) => {
            const outcome = await post(candidate, ASK_PATH, offer, timeoutMs);
            const power = outcome.kind === "answered" && outcome.status === OK ? Number(outcome.body) : NO_POWER;
            return Number.isFinite(power) && power > NO_POWER ? { power } : undefined;
        },
        notifySuccessor: async (candidate, offer, timeoutMs) => {
            // If this call fails, the lease expires as it would have without a handover.
            await post(candidate, TAKE_PATH, offer, timeoutMs);
        },
    };
}

/** Creates the routes of the candidate side. A malformed offer is answered with status 400. */
export function createHandoverRoutes(
    handler: Pick<handover.Handover, "answerOffer" | "acceptHandover">,
): calls.CallRoute[] {
    return [
        {
            path: ASK_PATH,
            handle: async text => {
                const offer = decodeOffer(text);
                return offer && String((await handler.answerOffer(offer))?.power ?? NO_POWER);
            },
        },
        {
            path: TAKE_PATH,
            handle: async text => {
                const offer = decodeOffer(text);
                if (!offer) {
                    return undefined;
                }
                handler.acceptHandover(offer);
                return "";
            },
        },
    ];
}

function decodeOffer(text: string): handover.HandoverOffer | undefined {
    try {
        const { holder, token } = JSON.parse(text) as Partial<handover.HandoverOffer>;
        return typeof holder === "string" && holder !== "" && Number.isSafeInteger(token)
            ? { holder, token: token! }
            : undefined;
    }
    catch {
        // The server responds with status 400.
        return undefined;
    }
}
