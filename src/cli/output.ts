/** Output and exit codes of the command line. */
import * as commander from "commander";
import * as result from "../result/index";
import * as settings from "../settings/index";

/** An error that ends the command with one line on standard error and the exit code of its result code. */
// eslint-disable-next-line no-restricted-syntax
export class CommandError extends Error {
    constructor(readonly code: number, message: string) {
        super(message);
    }
}

/** Options of commands that print results. */
export interface PrintOptions {
    /** Prints one JSON document in place of text. */
    readonly json?: boolean;
}

type Row = Readonly<Record<string, unknown>>;

/** Prints a table or a list of fields, or one JSON document. */
export function print(value: Row | readonly Row[], options: PrintOptions): void {
    if (options.json) {
        writeLine(JSON.stringify(value));
        return;
    }
    writeLine(Array.isArray(value) ? formatTable(value as readonly Row[]) : formatFields(value as Row));
}

/** Writes a line to standard output. */
export function writeLine(line: string): void {
    process.stdout.write(`${line}\n`);
}

function formatTable(rows: readonly Row[]): string {
    if (rows.length === 0) {
        return "(none)";
    }
    const columns = Object.keys(rows[0]!);
    const cells = [
        columns.map(column => column.toUpperCase()),
        ...rows.map(row => columns.map(column => formatCell(row[column]))),
    ];
    const widths = columns.map((_, index) => Math.max(...cells.map(line => line[index]!.length)));
    return cells.map(line => line.map((cell, index) => cell.padEnd(widths[index]!)).join("  ").trimEnd()).join("\n");
}

function formatFields(row: Row): string {
    const width = Math.max(...Object.keys(row).map(key => key.length));
    return Object.entries(row).map(([key, value]) => `${key.padEnd(width)}  ${formatCell(value)}`).join("\n");
}

function formatCell(value: unknown): string {
    if (value === undefined) {
        return "-";
    }
    if (typeof value === "number") {
        return Number.isInteger(value) ? String(value) : value.toFixed(2);
    }
    return typeof value === "object" ? JSON.stringify(value) : String(value);
}

/** Runs the program and sets the exit code. Errors are printed to standard error, one line each. */
export async function runProgram(program: commander.Command, args: readonly string[]): Promise<void> {
    try {
        await program.parseAsync([...args], { from: "user" });
    }
    catch (err) {
        process.exitCode = reportError(err);
    }
}

function reportError(err: unknown): number {
    if (err instanceof commander.CommanderError) {
        // Commander has printed the error already; help and version have exit code 0.
        return err.exitCode === 0 ? 0 : result.getResultInfo(result.ResultCode.BadRequest).exitCode;
    }
    if (err instanceof CommandError) {
        process.stderr.write(`error ${err.code} (${result.getResultInfo(err.code).name}): ${err.message}\n`);
        return result.getResultInfo(err.code).exitCode;
    }
    if (err instanceof settings.SettingsError) {
        for (const line of err.message.split("\n")) {
            process.stderr.write(`error ${result.ResultCode.SettingsInvalid} (settingsInvalid): ${line}\n`);
        }
        return result.getResultInfo(result.ResultCode.SettingsInvalid).exitCode;
    }
    process.stderr.write(`error ${result.ResultCode.Internal} (internal): ${result.getErrorMessage(err)}\n`);
    return result.getResultInfo(result.ResultCode.Internal).exitCode;
}
