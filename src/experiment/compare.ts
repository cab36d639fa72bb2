/** Paired differences between variants that were simulated on the same deployments. */
import * as statistics from "simple-statistics";
import * as measures from "./measures";

/** Paired difference of one measure between a variant and the baseline. */
export interface Difference {
    readonly measure: measures.Measure;
    /** Mean of the baseline over all deployments. */
    readonly baseline: number;
    /** Mean of variant minus baseline over all deployments. */
    readonly mean: number;
    /** Standard error of `mean`. */
    readonly standardError: number;
}

/** Compares every measure. Both lists hold one entry per deployment, in the same order. */
export function compare(
    baseline: readonly measures.Measures[],
    variant: readonly measures.Measures[],
): readonly Difference[] {
    return (Object.keys(measures.MEASURES) as measures.Measure[]).map(measure => {
        const differences = variant.map((measured, number) => measured[measure] - baseline[number]![measure]);
        const deviation = differences.length > 1 ? statistics.sampleStandardDeviation(differences) : NaN;
        return {
            measure,
            baseline: statistics.mean(baseline.map(measured => measured[measure])),
            mean: statistics.mean(differences),
            standardError: deviation / Math.sqrt(differences.length),
        };
    });
}

/** Spearman's rank correlation (-1 to 1) of two scores of the same variants. */
export function getRankCorrelation(a: readonly number[], b: readonly number[]): number {
    return statistics.sampleRankCorrelation([...a], [...b]);
}
