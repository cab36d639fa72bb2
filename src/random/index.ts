/** Seeded pseudo-random numbers, so that a run can be reproduced from its seed. */
import * as distribution from "pure-rand/distribution/uniformInt";
import * as generator from "pure-rand/generator/xoroshiro128plus";

/** A source of pseudo-random numbers. */
export interface Random {
    /** Uniform in [0, 1). */
    nextFloat(): number;
    /** Uniform integer in [0, bound). */
    nextInt(bound: number): number;
    /** Exponentially distributed with the given mean. */
    nextExponential(mean: number): number;
    /** Normally distributed, with mean 0 and standard deviation 1. */
    nextNormal(): number;
    /** A uniformly chosen element; the list must not be empty. */
    pick<T>(items: readonly T[]): T;
}

/** Number of distinct values of `nextFloat`. */
const FLOAT_STEPS = 2 ** 30;

/** Creates a source; the same seed gives the same sequence. */
export function createRandom(seed: number): Random {
    const source = generator.xoroshiro128plus(seed);
    const nextInt = (bound: number) => distribution.uniformInt(source, 0, bound - 1);
    const nextFloat = () => nextInt(FLOAT_STEPS) / FLOAT_STEPS;
    return {
        nextFloat,
        nextInt,
        nextExponential: mean => -mean * Math.log(1 - nextFloat()),
        nextNormal: () => Math.sqrt(-2 * Math.log(1 - nextFloat())) * Math.cos(2 * Math.PI * nextFloat()),
        pick: items => items[nextInt(items.length)]!,
    };
}
