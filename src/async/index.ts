/** Small helpers for promises. */
export { createAbortController } from "./abort";

export interface Deferred<T> {
    readonly promise: Promise<T>;
    readonly resolve: (value: T) => void;
}

/** A promise that is resolved from outside. */
export function createDeferred<T = void>(): Deferred<T> {
    let resolvePromise: (value: T) => void = () => undefined;
    const promise = new Promise<T>(resolve => {
        resolvePromise = resolve;
    });
    return { promise, resolve: value => resolvePromise(value) };
}
