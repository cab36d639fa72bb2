/** Structured log on standard error. */
import * as consola from "consola";

/** Log of state changes. Whatever happens for each request is counted instead. */
export interface Log {
    info(event: string, fields?: Readonly<Record<string, unknown>>): void;
    warn(event: string, fields?: Readonly<Record<string, unknown>>): void;
    error(event: string, fields?: Readonly<Record<string, unknown>>): void;
}

/** Options of the log: the instance named in each line, and the lowest level that is written. */
export interface LogOptions {
    readonly instance: string;
    readonly level: "silent" | "error" | "warn" | "info";
}

const CONSOLA_LEVELS = { silent: -999, error: 0, warn: 1, info: 3 } as const;

/** Creates a log that writes one JSON object per line to standard error. */
export function createLog(options: LogOptions): Log {
    const logger = consola.create({
        level: CONSOLA_LEVELS[options.level],
        reporters: [{
            log: entry => {
                const [event, fields] = entry.args as [string, Record<string, unknown> | undefined];
                const line = {
                    time: entry.date.toISOString(),
                    level: entry.type,
                    instance: options.instance,
                    event,
                    ...fields,
                };
                process.stderr.write(`${JSON.stringify(line)}\n`);
            },
        }],
        throttle: 0,
    });
    return {
        info: (event, fields) => logger.info(event, fields),
        warn: (event, fields) => logger.warn(event, fields),
        error: (event, fields) => logger.error(event, fields),
    };
}
