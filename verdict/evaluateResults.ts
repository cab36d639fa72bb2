/**
 * Whether a run may land.
 *
 * What goes wrong with a list that only excuses failures: a test that is mended stays listed, and excuses the next
 * fault that breaks it; a test that was renamed or skipped is no longer run, and nobody notices. So a listed check that
 * passes, is skipped or is not there fails the run as well.
 */
import type * as checkResult from "./checkResult";
import type * as knownFailures from "./knownFailures";

export interface Evaluation {
    /** What keeps the run from landing; empty: it may. */
    readonly problems: readonly string[];
    /** The known failures that were seen again. */
    readonly known: readonly knownFailures.KnownFailure[];
    readonly passed: number;
}

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
