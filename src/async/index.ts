/** Helpers for promises and abort signals. */
export { createAbortController } from "./abort";

/** A promise with its resolve function. */
export interface Deferred<T> {
    readonly promise: Promise<T>;
    readonly resolve: (value: T) => void;
}

/** Creates a promise that is resolved by a call of `resolve`. */
export function createDeferred<T = void>(): Deferred<T> {
    let resolvePromise: (value: T) => void = () => undefined;
    const promise = new Promise<T>(resolve => {
        resolvePromise = resolve;
    });
    return { promise, resolve: value => resolvePromise(value) };
}
