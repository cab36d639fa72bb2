/** Error messages for settings files. Each names the file, the key and what was expected. */
import type * as z from "zod";

/** One problem of a settings file. */
export interface SettingsProblem {
    readonly file: string;
    /** Dotted path of the key; empty for the whole file. */
    readonly key: string;
    readonly message: string;
}

/** Lists the problems of a settings file; its message has a line for each. */
// Thrown through code that does not handle settings errors, and only a class can extend Error.
// eslint-disable-next-line no-restricted-syntax
export class SettingsError extends Error {
    constructor(readonly problems: readonly SettingsProblem[]) {
        super(problems.map(formatProblem).join("\n"));
    }
}

/** Formats a problem as `file: key: message`, without the key when it is empty. */
export function formatProblem(problem: SettingsProblem): string {
    return problem.key === ""
        ? `${problem.file}: ${problem.message}`
        : `${problem.file}: ${problem.key}: ${problem.message}`;
}

/** Converts the issues of zod to problems, with one problem for each unknown key. */
export function toProblems(file: string, issues: readonly z.core.$ZodIssue[], knownKeys: KnownKeys): SettingsProblem[] {
    return issues.flatMap(issue => {
        const path = issue.path.map(String);
        if (issue.code === "unrecognized_keys") {
            return issue.keys.map(key => ({
                file,
                key: [...path, key].join("."),
                message: describeUnknownKey(key, knownKeys(path)),
            }));
        }
        return [{ file, key: path.join("."), message: describeIssue(issue) }];
    });
}

/** Returns the keys that are allowed at a path. */
export type KnownKeys = (path: readonly string[]) => readonly string[];

function describeUnknownKey(key: string, known: readonly string[]): string {
    const stripUnit = (name: string) => name.replace(/(Ms|Milliseconds|Seconds|Secs|Sec|Minutes|S)$/, "").toLowerCase();
    const similarKey = known.find(name => stripUnit(name) === stripUnit(key));
    if (similarKey?.endsWith("Ms")) {
        return `unknown key; durations are in milliseconds here: expected "${similarKey}"`;
    }
    return `unknown key; expected one of ${known.join(", ")}`;
}

function describeIssue(issue: z.core.$ZodIssue): string {
    if (issue.code === "invalid_type" && issue.input === undefined && /received undefined/.test(issue.message)) {
        return `missing; expected ${issue.expected}`;
    }
    const message = issue.message.replace(/^Invalid input: /, "");
    const key = String(issue.path.at(-1) ?? "");
    return issue.code === "invalid_type" && key.endsWith("Ms")
        ? `${message}; expected whole milliseconds, for instance 2500`
        : message;
}
