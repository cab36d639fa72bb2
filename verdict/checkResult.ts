/** What became of each check of a run. */
import * as path from "node:path";

export interface CheckResult {
    /** Of a test: its file below the root, " › ", and its full name; of another check: the command. */
    readonly name: string;
    readonly outcome: "passed" | "failed" | "skipped";
}

/** The parts that are used of what `jest --json` writes. */
interface JestReport {
    readonly success: boolean;
    readonly testResults: ReadonlyArray<{
        readonly name: string;
        readonly status: string;
        readonly message: string;
        readonly assertionResults: ReadonlyArray<{ readonly fullName: string; readonly status: string; }>;
    }>;
}

/** A file that could not be run counts as a failed check of its own: none of its tests is in the report. */
export function readJestReport(text: string, root: string): readonly CheckResult[] {
    const report = JSON.parse(text) as JestReport;
    const results = report.testResults.flatMap(file => {
        const name = path.relative(root, file.name);
        const tests = file.assertionResults.map((test): CheckResult => ({
            name: `${name} › ${test.fullName}`,
            outcome: toOutcome(test.status),
        }));
        const couldNotRun = file.status === "failed" && !tests.some(test => test.outcome === "failed");
        return couldNotRun ? [...tests, { name, outcome: "failed" as const }] : tests;
    });
    const isExplained = report.success || results.some(result => result.outcome === "failed");
    return isExplained ? results : [...results, { name: "jest", outcome: "failed" }];
}

function toOutcome(status: string): CheckResult["outcome"] {
    switch (status) {
        case "passed":
            return "passed";
        case "failed":
            return "failed";
        default:
            return "skipped";
    }
}
