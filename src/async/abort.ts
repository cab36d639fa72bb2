import * as events from "node:events";

/**
 * A controller whose signal may have any number of listeners: one signal ends every loop of an owner, and Node takes more
 * than ten listeners for a leak unless told otherwise.
 */
export function createAbortController(): AbortController {
    const controller = new AbortController();
    events.setMaxListeners(0, controller.signal);
    return controller;
}
