/** What is wrong with a settings file, in words that name the file, the key and what was expected. */
import type * as z from "zod";

export interface SettingsProblem {
    readonly file: string;
    /** Dotted path of the key; empty for the whole file. */
    readonly key: string;
    readonly message: string;
}

// Thrown through code that knows nothing of settings; the language offers only classes for that.
// eslint-disable-next-line no-restricted-syntax
export class SettingsError extends Error {
    constructor(readonly problems: readonly SettingsProblem[]) {
        super(problems.map(formatProblem).join("\n"));
    }
}

export function formatProblem(problem: SettingsProblem): string {
    return problem.key === ""
        ? `${problem.file}: ${problem.message}`
        : `${problem.file}: ${problem.key}: ${problem.message}`;
}

/** One problem for each issue of zod; an unknown key is named itself, with the nearest known one. */
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

/** The keys that may stand at a path. */
export type KnownKeys = (path: readonly string[]) => readonly string[];

function describeUnknownKey(key: string, known: readonly string[]): string {
    const stem = (name: string) => name.replace(/(Ms|Milliseconds|Seconds|Secs|Sec|Minutes|S)$/, "").toLowerCase();
    const sameStem = known.find(name => stem(name) === stem(key));
    if (sameStem?.endsWith("Ms")) {
        return `unknown key; durations are in milliseconds here: expected "${sameStem}"`;
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
