/**
 * Compares the results of a run with the list of known failures.
 *
 * A listed check that passes, is skipped or is missing fails the run as well, unless it is only run by hand. Otherwise a fixed test could stay listed
 * and hide the next regression, and a test that was renamed or skipped would no longer run without anyone noticing.
 */
import type * as checkResult from "./checkResult";
import type * as knownFailures from "./knownFailures";

export interface Evaluation {
    /** Reasons why the run fails; empty if it passes. */
    readonly problems: readonly string[];
    /** The known failures that failed again, and those that are only run by hand. */
    readonly known: readonly knownFailures.KnownFailure[];
    readonly passed: number;
}

/** Evaluates the results of all checks against the known failures. */
export function evaluateResults(
    results: readonly checkResult.CheckResult[],
    listed: readonly knownFailures.KnownFailure[],
): Evaluation {
    const isListed = (result: checkResult.CheckResult) => listed.some(entry => entry.test === result.name);
    const unlisted = results.filter(result => !isListed(result));
    const known: knownFailures.KnownFailure[] = [];
    const problems = [
        ...unlisted.filter(result => result.outcome === "failed").map(result => `failed: ${result.name}`),
        ...unlisted.filter(result => result.outcome === "skipped").map(result => `skipped: ${result.name}`),
    ];
    for (const entry of listed) {
        const outcomes = results.filter(result => result.name === entry.test).map(result => result.outcome);
        if (entry.isRunByHand && outcomes.length === 0) {
            known.push(entry);
            continue;
        }
        if (outcomes.length === 0) {
            problems.push(`listed as a known failure, but not run: ${entry.test}`);
            continue;
        }
        if (outcomes.some(outcome => outcome !== "failed")) {
            problems.push(`listed as a known failure, but ${outcomes.join(", ")}: ${entry.test}`);
            continue;
        }
        known.push(entry);
    }
    return { problems, known, passed: results.filter(result => result.outcome === "passed").length };
}
