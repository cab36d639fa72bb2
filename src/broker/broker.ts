import * as moleculer from "moleculer";

/** Creates a broker for this process only. Clustering and discovery are off: instances agree through the platform. */
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
