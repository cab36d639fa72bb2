/** Interface to the platform's object store. Objects are written once and never changed. */
export interface ObjectStore {
    /** Resolves to true when the object is stored. Repeating a write with the same key and body is safe. */
    put(key: string, body: Uint8Array): Promise<boolean>;
    /** Resolves to `unavailable` when the store did not answer. */
    get(key: string): Promise<
        | { readonly kind: "found"; readonly body: Uint8Array; }
        | { readonly kind: "absent"; }
        | { readonly kind: "unavailable"; }
    >;
}
