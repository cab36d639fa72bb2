/** Client that forwards a caller's request to another instance. */
import type * as calls from "../calls/index";
import * as messages from "./messages";
import type * as relay from "./relay";

/** Path of the route for forwarded requests. */
export const REQUEST_PATH = "/request";
const OK = 200;
/** The peer had no room for the request and has not carried it out. */
const UNAVAILABLE = 503;

/** Creates the function with which a relay sends requests to peers. */
export function createPeerClient(client: calls.HttpClient): relay.RelayOptions["send"] {
    return async (peer, forwarded, timeoutMs) => {
        const outcome = await client.call({
            address: peer,
            method: "POST",
            path: REQUEST_PATH,
            body: messages.encode(forwarded),
            timeoutMs,
        });
        if (outcome.kind === "noAnswer") {
            return { kind: outcome.sent ? "silent" : "unreachable", message: outcome.message };
        }
        if (outcome.status === UNAVAILABLE) {
            return { kind: "unreachable", message: `status ${outcome.status}` };
        }
        const replied = outcome.status === OK ? messages.decodeReply(outcome.body) : undefined;
        return replied
            ? { kind: "replied", forwarded: replied }
            : { kind: "silent", message: `status ${outcome.status}, no reply in it` };
    };
}
