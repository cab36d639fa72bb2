/** A parsed log line; `time` is an ISO timestamp. */
export interface LogLine {
    readonly time: string;
    readonly instance: string;
    readonly event: string;
    readonly fields: Readonly<Record<string, unknown>>;
}
