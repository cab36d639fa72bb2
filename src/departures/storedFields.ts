/** Checks of stored values, which another build may have written. */

/** Entries of a stored object. Throws if it is no object, or if a value is not accepted. */
export function readEntries<T>(
    stored: unknown,
    isAccepted: (value: unknown) => value is T,
): ReadonlyArray<readonly [key: string, value: T]> {
    if (typeof stored !== "object" || !stored || Array.isArray(stored)) {
        throw new Error("not an object");
    }
    return Object.entries(stored).map(([key, value]: readonly [string, unknown]) => {
        if (!isAccepted(value)) {
            throw new Error(`unexpected value of ${key}`);
        }
        return [key, value];
    });
}

/** Whether the value is a finite number of at least 0. */
export function isNonNegative(value: unknown): value is number {
    return typeof value === "number" && Number.isFinite(value) && value >= 0;
}

/** Whether the value is a list of finite numbers. */
export function isNumberList(value: unknown): value is readonly number[] {
    return Array.isArray(value) && value.every(item => typeof item === "number" && Number.isFinite(item));
}
