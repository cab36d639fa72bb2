/** Differences between variants that were played on the same deployments. */
import * as statistics from "simple-statistics";
import * as measures from "./measures";

export interface Difference {
    readonly measure: measures.Measure;
    /** Of the baseline, and of the variant less the baseline, over all deployments. */
    readonly baseline: number;
    readonly mean: number;
    /** Standard error of `mean`. */
    readonly error: number;
}

/** Both lists hold one entry a deployment, in the same order. */
export function compare(
    baseline: readonly measures.Measures[],
    variant: readonly measures.Measures[],
): readonly Difference[] {
    return (Object.keys(measures.MEASURES) as measures.Measure[]).map(measure => {
        const differences = variant.map((measured, number) => measured[measure] - baseline[number]![measure]);
        const spread = differences.length > 1 ? statistics.sampleStandardDeviation(differences) : NaN;
        return {
            measure,
            baseline: statistics.mean(baseline.map(measured => measured[measure])),
            mean: statistics.mean(differences),
            error: spread / Math.sqrt(differences.length),
        };
    });
}

/** Spearman's rank correlation of two orders of the same variants. */
export function getRankCorrelation(a: readonly number[], b: readonly number[]): number {
    return statistics.sampleRankCorrelation([...a], [...b]);
}
