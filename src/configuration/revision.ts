/** A revision of the configuration, and the head row that names the one in force. */
import * as z from "zod";
import type * as schema from "./siteSchema";

/**
 * The one row that says what is in force. It is small: documents are stored under their digest and fetched only when
 * they change, so a preset switch moves some hundred bytes a reader whatever the size of the site.
 */
export const headSchema = z.object({
    /** Rises by one with every change. */
    revision: z.number().int().positive(),
    preset: z.string(),
    contractsDigest: z.string(),
    topologyDigest: z.string(),
    /** Wall time from which the revision holds, in milliseconds since the epoch. */
    effectiveAtMs: z.number(),
    /** Chosen by whoever made the change, so that a lost answer is recognised when the row is read back. */
    operationId: z.string(),
});
export type ConfigurationHead = z.infer<typeof headSchema>;

export interface Configuration {
    readonly head: ConfigurationHead;
    readonly contracts: schema.Contracts;
    readonly topology: schema.Topology;
}

export const HEAD_KEY = "configuration/head";

export function getDocumentKey(digest: string): string {
    return `configuration/document/${digest}`;
}
