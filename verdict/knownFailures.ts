/** The list of tests that fail for a fault which is known and not mended yet. */

export interface KnownFailure {
    /** Name of the check, as `CheckResult.name`. */
    readonly test: string;
    /** How to bring it about, with the seed where there is one. */
    readonly command: string;
    /** What was seen. */
    readonly seen: string;
    /** The open issue that it belongs to. */
    readonly issue: string;
}

export type ParsedList =
    | { readonly kind: "list"; readonly failures: readonly KnownFailure[]; }
    | { readonly kind: "invalid"; readonly problems: readonly string[]; };

const FIELDS = ["test", "command", "seen", "issue"] as const;

/** Entries are blocks of `field: text` lines with an empty line between them; lines that begin with # are comments. */
export function parseKnownFailures(text: string): ParsedList {
    const blocks = text.split("\n")
        .filter(line => !line.startsWith("#"))
        .join("\n")
        .split(/\n\s*\n/)
        .map(block => block.trim())
        .filter(block => block !== "");
    const problems: string[] = [];
    const failures: KnownFailure[] = [];
    for (const block of blocks) {
        const entry = parseEntry(block);
        if (!entry) {
            problems.push(`an entry is not the four lines ${FIELDS.join(", ")}: ${block.split("\n")[0]}`);
            continue;
        }
        if (failures.some(other => other.test === entry.test)) {
            problems.push(`listed twice: ${entry.test}`);
        }
        failures.push(entry);
    }
    return problems.length > 0 ? { kind: "invalid", problems } : { kind: "list", failures };
}

/** `undefined` unless each field is there once, in order, and not empty. */
function parseEntry(block: string): KnownFailure | undefined {
    const lines = block.split("\n");
    const values = FIELDS.map((field, position) => {
        const line = lines[position] ?? "";
        return line.startsWith(`${field}: `) ? line.slice(field.length + 2).trim() : "";
    });
    if (lines.length !== FIELDS.length || values.includes("")) {
        return undefined;
    }
    const [test, command, seen, issue] = values as [string, string, string, string];
    return { test, command, seen, issue };
}
