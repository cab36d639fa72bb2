/** Lines that tell of a run that did not end well. */
import type * as story from "./timeline";

/** Why the run ended, in a word; `undefined` for lines that tell of something else. */
export function getEndReason({ event, fields }: story.LogLine): string | undefined {
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
