/** A revision of the configuration, and the head row that describes the newest one. */
import * as z from "zod";
import type * as schema from "./siteSchema";

/**
 * The head row: the newest revision and the digests of its documents. Documents are stored under their digest and
 * fetched only when they change, so a preset switch transfers a few hundred bytes to each reader, whatever the size of
 * the site.
 */
export const headSchema = z.object({
    /** Increases by one with every change. */
    revision: z.number().int().positive(),
    /** Name of the preset that applies. */
    preset: z.string(),
    contractsDigest: z.string(),
    topologyDigest: z.string(),
    /** Wall time at which the revision takes effect, in milliseconds since the epoch. */
    effectiveAtMs: z.number(),
    /** Id of the operation that made the change; identifies it when its answer was lost and the row is read back. */
    operationId: z.string(),
});
export type ConfigurationHead = z.infer<typeof headSchema>;

/** A revision with its documents. */
export interface Configuration {
    readonly head: ConfigurationHead;
    readonly contracts: schema.Contracts;
    readonly topology: schema.Topology;
}

/** Key of the head row. */
export const HEAD_KEY = "configuration/head";

/** Key of the row that holds the document with the digest. */
export function getDocumentKey(digest: string): string {
    return `configuration/document/${digest}`;
}
