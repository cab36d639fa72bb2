/** Takes requests that other instances pass on. They are handled here or not at all: none is passed on again. */
import type * as calls from "../calls/index";
import * as messages from "./messages";
import * as peerClient from "./peerClient";
import * as replies from "./replies";

export interface ForwardedRequestRouteOptions {
    /** Version of the configuration in force here; 0: none. */
    getConfigurationVersion(): number;
    /** Whether requests may be handled under it. */
    isConfigurationFresh(): boolean;
    /** Addresses of other instances. */
    getPeers(): readonly string[];
    handle(request: messages.CallerRequest): Promise<messages.CallerReply>;
}

export function createForwardedRequestRoute(options: ForwardedRequestRouteOptions): calls.CallRoute {
    return {
        path: peerClient.REQUEST_PATH,
        handle: async text => {
            const passed = messages.decodeRequest(text);
            if (!passed) {
                return undefined;
            }
            // Read before the request is handled: the reply may be under a newer one, never under an older one.
            const configurationVersion = options.getConfigurationVersion();
            const reply = configurationVersion < passed.leastVersion || !options.isConfigurationFresh()
                ? replies.OUT_OF_DATE
                : await options.handle(passed.request);
            return messages.encode({ reply, configurationVersion, peers: options.getPeers() });
        },
    };
}
