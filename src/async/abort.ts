import * as events from "node:events";

/**
 * Creates a controller whose signal may have any number of listeners. One signal stops all loops of an owner, and by
 * default Node.js warns of a leak at more than ten listeners.
 */
export function createAbortController(): AbortController {
    const controller = new AbortController();
    events.setMaxListeners(0, controller.signal);
    return controller;
}
