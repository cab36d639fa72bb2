import type * as clock from "../../clock/index";
import type * as observe from "../../observe/index";
import * as telemetry from "../../telemetry/index";
import * as inbounds from "../index";

/** Limits of the machine of the deploy file. */
export const LIMITS = inbounds.deriveInboundLimits({ memoryBytes: 350_000_000, descriptors: 4_100 });

export const SILENT_LOG: observe.Log = { info: () => undefined, warn: () => undefined, error: () => undefined };

export function createInbound(time: clock.Clock, limits = LIMITS): inbounds.Inbound {
    return inbounds.createInbound({ limits, clock: time, log: SILENT_LOG, meter: telemetry.createMetrics().meter });
}
