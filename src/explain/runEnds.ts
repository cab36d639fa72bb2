/** Log lines of runs that ended without completing their task. */
import type * as logLine from "./logLine";

/** Returns the reason for which the run ended early, as one word; `undefined` for other lines. */
export function getEndReason({ event, fields }: logLine.LogLine): string | undefined {
    switch (event) {
        case "runFailed":
            return "failed";
        case "runLost":
            return "workerLost";
        case "runEnded":
            return String(fields["reason"] ?? fields["how"]).replace(/ for .*/, "").replace(/^gang member ended: /, "");
        default:
            return undefined;
    }
}
