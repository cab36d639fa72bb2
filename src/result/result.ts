import type * as refusal from "./refusal";

/** A value or a refusal. Functions return it where a refusal is an expected answer rather than a fault. */
export type Result<T> =
    | { readonly ok: true; readonly value: T; }
    | { readonly ok: false; readonly refusal: refusal.Refusal; };

export function ok<T>(value: T): Result<T> {
    return { ok: true, value };
}

export function err<T>(refused: refusal.Refusal): Result<T> {
    return { ok: false, refusal: refused };
}
