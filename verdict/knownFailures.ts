/** Parser of the list of tests that fail because of a known fault that is not fixed yet. */

export interface KnownFailure {
    /** Name of the check, as `CheckResult.name`. */
    readonly test: string;
    /** Whether the check is only run by hand, such as a long soak: a CI run has no result for it. */
    readonly isRunByHand: boolean;
    /** Command that reproduces the failure, with the seed if there is one. */
    readonly command: string;
    /** Observed failure. */
    readonly seen: string;
    /** The open issue of the fault. */
    readonly issue: string;
}

export type ParsedList =
    | { readonly kind: "list"; readonly failures: readonly KnownFailure[]; }
    | { readonly kind: "invalid"; readonly problems: readonly string[]; };

const FIELDS = ["test", "command", "seen", "issue"] as const;
const BY_HAND_PREFIX = "by hand: ";

/**
 * Parses the list. Entries are blocks of `field: text` lines, separated by empty lines; lines that begin with # are
 * comments. The name of a check that CI does not run begins with "by hand: ".
 */
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
            problems.push(`an entry does not consist of the four lines ${FIELDS.join(", ")}: ${block.split("\n")[0]}`);
            continue;
        }
        if (failures.some(other => other.test === entry.test)) {
            problems.push(`listed twice: ${entry.test}`);
        }
        failures.push(entry);
    }
    return problems.length > 0 ? { kind: "invalid", problems } : { kind: "list", failures };
}

/** Parses one entry; `undefined` unless it has each field once, in order and not empty. */
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
    const isRunByHand = test.startsWith(BY_HAND_PREFIX);
    return { test: isRunByHand ? test.slice(BY_HAND_PREFIX.length) : test, isRunByHand, command, seen, issue };
}
