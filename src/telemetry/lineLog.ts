/**
 * Structured log lines, rate-limited and never blocking.
 *
 * If the reader of the output stalls, the pipe fills. Without limits a blocking write would then stop the instance, or
 * the buffer would grow until it runs out of memory. Lines over the limit are dropped, and the next line that is
 * written states how many.
 */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";

/** Options of the log. */
export interface LineLogOptions {
    readonly clock: clock.Clock;
    readonly instance: string;
    readonly meter: observe.Meter;
    /** Stream that receives the lines; `writableLength` is the length of the text buffered there. */
    readonly output: { write(text: string): boolean; readonly writableLength: number; };
}

/** Suffices for a leader of some hundred workers at normal load; at peak load lines about single runs are dropped. */
const LINES_PER_SECOND = 400;
const MAX_BURST_LINES = 1_200;
/** Maximum text buffered for the reader; lines beyond it are dropped. */
const MAX_BUFFERED_BYTES = 1 << 20;

/** Creates a log that writes one JSON object per line to `output`. */
export function createLineLog(options: LineLogOptions): observe.Log {
    let budget = MAX_BURST_LINES;
    let refilledAt = options.clock.now();
    let dropped = 0;
    const write = (level: string, event: string, fields: Readonly<Record<string, unknown>> | undefined) => {
        const now = options.clock.now();
        budget = Math.min(MAX_BURST_LINES, budget + (now - refilledAt) * LINES_PER_SECOND / 1_000);
        refilledAt = now;
        if (budget < 1 || options.output.writableLength > MAX_BUFFERED_BYTES) {
            dropped++;
            options.meter.increment("log_lines_dropped_total", { level });
            return;
        }
        budget--;
        const line = {
            time: new Date(options.clock.wallTime()).toISOString(),
            level,
            instance: options.instance,
            event,
            ...fields,
            droppedBefore: dropped > 0 ? dropped : undefined,
        };
        dropped = 0;
        options.meter.increment("log_lines_total", { level });
        options.output.write(`${JSON.stringify(line)}\n`);
    };
    return {
        info: (event, fields) => write("info", event, fields),
        warn: (event, fields) => write("warn", event, fields),
        error: (event, fields) => write("error", event, fields),
    };
}
