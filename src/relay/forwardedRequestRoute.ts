/** Route for requests forwarded by other instances. They are handled here or refused, never forwarded again. */
import type * as calls from "../calls/index";
import * as messages from "./messages";
import * as peerClient from "./peerClient";
import * as replies from "./replies";

/** Ports of the route. */
export interface ForwardedRequestRouteOptions {
    /** Version of the configuration in force here; 0 if there is none. */
    getConfigurationVersion(): number;
    /** Whether requests may be handled under this configuration. */
    isConfigurationFresh(): boolean;
    /** Addresses of other instances, sent along with each reply. */
    getPeers(): readonly string[];
    handle(request: messages.CallerRequest): Promise<messages.CallerReply>;
}

/** Creates the route. Refuses a request while the configuration here is stale or older than the request's minimum. */
export function createForwardedRequestRoute(options: ForwardedRequestRouteOptions): calls.CallRoute {
    return {
        path: peerClient.REQUEST_PATH,
        handle: async text => {
            const forwarded = messages.decodeRequest(text);
            if (!forwarded) {
                return undefined;
            }
            // Read before handling, so that the request is never handled under an older version than the reply states.
            const configurationVersion = options.getConfigurationVersion();
            const reply = configurationVersion < forwarded.leastVersion || !options.isConfigurationFresh()
                ? replies.OUT_OF_DATE
                : await options.handle(forwarded.request);
            return messages.encode({ reply, configurationVersion, peers: options.getPeers() });
        },
    };
}
