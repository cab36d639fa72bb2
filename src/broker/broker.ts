import * as moleculer from "moleculer";

/** A broker for this process alone: its clustering and discovery stay off, and instances agree through the platform. */
export function createBroker(instanceId: string): moleculer.ServiceBroker {
    return new moleculer.ServiceBroker({
        nodeID: instanceId,
        logger: false,
        validator: false,
        metrics: false,
        tracking: { enabled: false },
        skipProcessEventRegistration: true,
    });
}
