/** The port to the platform's object store. Objects are written once and never changed. */
export interface ObjectStore {
    /** Resolves to whether the object is stored; writing the same key again is harmless. */
    put(key: string, body: Uint8Array): Promise<boolean>;
    /** `unavailable` when the store did not answer. */
    get(key: string): Promise<
        | { readonly kind: "found"; readonly body: Uint8Array; }
        | { readonly kind: "absent"; }
        | { readonly kind: "unavailable"; }
    >;
}
