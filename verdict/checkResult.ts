/** Outcomes of the checks of a CI run. */
import * as path from "node:path";

export interface CheckResult {
    /** A test is named by its file relative to the root, " › " and its full name; another check by its command. */
    readonly name: string;
    readonly outcome: "passed" | "failed" | "skipped";
}

/** The fields of the output of `jest --json` that are used here. */
interface JestReport {
    readonly success: boolean;
    readonly testResults: ReadonlyArray<{
        readonly name: string;
        readonly status: string;
        readonly message: string;
        readonly assertionResults: ReadonlyArray<{ readonly fullName: string; readonly status: string; }>;
    }>;
}

/**
 * Parses a report of `jest --json`. A file that could not be run becomes a failed check of its own, as the report has
 * none of its tests; so does a failed run without any failed test.
 */
export function readJestReport(text: string, root: string): readonly CheckResult[] {
    const report = JSON.parse(text) as JestReport;
    const results = report.testResults.flatMap(file => {
        const name = path.relative(root, file.name);
        const tests = file.assertionResults.map((test): CheckResult => ({
            name: `${name} › ${test.fullName}`,
            outcome: parseOutcome(test.status),
        }));
        const hasFileFailure = file.status === "failed" && !tests.some(test => test.outcome === "failed");
        return hasFileFailure ? [...tests, { name, outcome: "failed" as const }] : tests;
    });
    const isFailureListed = report.success || results.some(result => result.outcome === "failed");
    return isFailureListed ? results : [...results, { name: "jest", outcome: "failed" }];
}

function parseOutcome(status: string): CheckResult["outcome"] {
    switch (status) {
        case "passed":
            return "passed";
        case "failed":
            return "failed";
        default:
            return "skipped";
    }
}
