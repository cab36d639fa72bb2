/**
 * Structured lines to standard output, bounded in volume and never blocking.
 *
 * What goes wrong without the bounds: whoever reads the output stalls, the pipe fills, and a blocking write stops the
 * instance; or the buffer grows until the instance runs out of memory. Lines beyond the budget are counted, and the
 * count is written as soon as there is room.
 */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";

export interface LineLogOptions {
    readonly clock: clock.Clock;
    readonly instance: string;
    readonly meter: observe.Meter;
    /** Where lines go; `writableLength` says how much waits there. */
    readonly output: { write(text: string): boolean; readonly writableLength: number; };
}

/** Room for the leader of some hundred workers on a calm day; on a heavy one it leaves single runs out. */
const LINES_PER_SECOND = 400;
const BURST_LINES = 1_200;
/** Text that waits for a reader; beyond it lines are dropped. */
const MAX_WAITING_BYTES = 1 << 20;

export function createLineLog(options: LineLogOptions): observe.Log {
    let budget = BURST_LINES;
    let refilledAt = options.clock.now();
    let dropped = 0;
    const write = (level: string, event: string, fields: Readonly<Record<string, unknown>> | undefined) => {
        const now = options.clock.now();
        budget = Math.min(BURST_LINES, budget + (now - refilledAt) * LINES_PER_SECOND / 1_000);
        refilledAt = now;
        if (budget < 1 || options.output.writableLength > MAX_WAITING_BYTES) {
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
