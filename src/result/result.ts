import type * as refusal from "./refusal";

/** A value or a refusal. Functions return it where a refusal is an expected result rather than an error. */
export type Result<T> =
    | { readonly ok: true; readonly value: T; }
    | { readonly ok: false; readonly refusal: refusal.Refusal; };

/** Creates a successful result. */
export function ok<T>(value: T): Result<T> {
    return { ok: true, value };
}

/** Creates a failed result. */
export function err<T>(refused: refusal.Refusal): Result<T> {
    return { ok: false, refusal: refused };
}
