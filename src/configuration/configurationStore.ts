/** Reads and changes the configuration in the platform's table service. */
import * as crypto from "node:crypto";
import * as platform from "../backing/index";
import type * as clock from "../clock/index";
import * as result from "../result/index";
import * as revision from "./revision";
import * as schema from "./siteSchema";

export interface ChangeRequest {
    /** Chosen by the operator's client. A change that is repeated with the same id is applied once. */
    readonly operationId: string;
    /** The revision that the operator has seen; the change is refused as a conflict when the store holds another. */
    readonly expectedRevision: number;
    readonly contracts: schema.Contracts;
    readonly topology: schema.Topology;
    readonly preset: string;
}

/** Head of the new revision, or the refusal. */
export type ChangeResult = result.Result<revision.ConfigurationHead>;

export interface ConfigurationStore {
    /** Reads the head row; the value is `undefined` when there is no configuration yet. */
    readHead(): Promise<platform.ReadResult<revision.ConfigurationHead | undefined>>;
    /** Resolves to `undefined` when the store does not answer or does not have the document. */
    readDocument(digest: string): Promise<string | undefined>;
    /** Writes the next revision, its documents and its operation row in one transaction. */
    change(req: ChangeRequest): Promise<ChangeResult>;
}

interface StoreOptions {
    readonly table: platform.GuardedTable;
    readonly clock: clock.Clock;
    readonly retry: platform.RetryPolicy;
    /** Time from the acceptance of a change until it takes effect. */
    readonly leadMs: number;
    /** How long the outcome of a write with a lost answer is looked up before it is reported as unresolved. */
    readonly resolveTimeoutMs: number;
}

const { Priority } = platform;

/** Creates a store on the given table; nothing is read or written until a method is called. */
export function createConfigurationStore(options: StoreOptions): ConfigurationStore {
    const { table, clock: time } = options;

    const readHeadRow = async () => {
        const rows = await table.get(Priority.Poll, [revision.HEAD_KEY]);
        return rows.kind === "read" ? { kind: "read" as const, value: rows.value[0] } : rows;
    };

    /** Reads the head that the operation created, even if later changes have replaced it. */
    const readOperation = async (operationId: string) => {
        const rows = await table.get(Priority.Submit, [getOperationKey(operationId)]);
        return rows.kind === "read"
            ? { kind: "read" as const, value: rows.value[0] ? parseHead(rows.value[0].value) : undefined }
            : rows;
    };

    const getMissingDocuments = async (documents: readonly string[]): Promise<platform.TableWrite[] | undefined> => {
        const keys = documents.map(document => revision.getDocumentKey(getDigest(document)));
        const rows = await table.get(Priority.Submit, keys);
        if (rows.kind !== "read") {
            return undefined;
        }
        const found = rows.value;
        const writes = documents.map((value, index) => ({ key: keys[index]!, expectedVersion: 0, value }));
        return writes.filter((_, index) => !found[index]);
    };

    const change = async (req: ChangeRequest): Promise<ChangeResult> => {
        const existing = await readOperation(req.operationId);
        if (existing.kind === "read" && existing.value) {
            return result.ok(existing.value);
        }
        const headRow = await readHeadRow();
        if (existing.kind !== "read" || headRow.kind !== "read") {
            return result.refuse(
                result.ResultCode.StoreUnavailable,
                "the table service did not answer; nothing changed",
                RETRY_OPTIONS,
            );
        }
        const current = headRow.value ? parseHead(headRow.value.value) : undefined;
        if ((current?.revision ?? 0) !== req.expectedRevision) {
            return refuseConflict(req.expectedRevision, current?.revision ?? 0);
        }
        const contracts = JSON.stringify(req.contracts);
        const topology = JSON.stringify(req.topology);
        const documents = await getMissingDocuments([contracts, topology]);
        if (!documents) {
            return result.refuse(
                result.ResultCode.StoreUnavailable,
                "the table service did not answer; nothing changed",
                RETRY_OPTIONS,
            );
        }
        const head: revision.ConfigurationHead = {
            revision: req.expectedRevision + 1,
            preset: req.preset,
            contractsDigest: getDigest(contracts),
            topologyDigest: getDigest(topology),
            // Later than the previous revision's, so that revisions take effect in the order of their numbers.
            effectiveAtMs: Math.max(time.wallTime() + options.leadMs, (current?.effectiveAtMs ?? 0) + 1),
            operationId: req.operationId,
        };
        const value = JSON.stringify(head);
        const written = await table.transact(Priority.Submit, [
            ...documents,
            { key: revision.HEAD_KEY, expectedVersion: headRow.value?.version ?? 0, value },
            { key: getOperationKey(req.operationId), expectedVersion: 0, value },
        ]);
        switch (written.kind) {
            case "committed":
                return result.ok(head);
            case "unavailable":
                return result.refuse(
                    result.ResultCode.StoreUnavailable,
                    `${written.message}; nothing changed`,
                    RETRY_OPTIONS,
                );
            case "conflict":
            case "unknown":
                return resolveChange(req);
        }
    };

    /**
     * Looks up the outcome of a change whose answer was lost or that failed with a conflict, which its own first
     * attempt may have caused. Treating a lost answer as a failure would tell an operator that a preset which is in
     * force is not.
     */
    const resolveChange = async (req: ChangeRequest): Promise<ChangeResult> => {
        const giveUpAt = time.now() + options.resolveTimeoutMs;
        for (let attempt = 1; time.now() < giveUpAt; attempt++) {
            const operation = await readOperation(req.operationId);
            if (operation.kind === "read" && operation.value) {
                return result.ok(operation.value);
            }
            const head = await readHeadRow();
            const foundRevision = head.kind === "read" && head.value ? parseHead(head.value.value).revision : 0;
            if (operation.kind === "read" && foundRevision > req.expectedRevision) {
                return refuseConflict(req.expectedRevision, foundRevision);
            }
            await time.sleep(options.retry.getDelay(attempt));
        }
        return result.refuse(
            result.ResultCode.Unresolved,
            "the table service did not say whether the change took effect; repeat it with the same operation id",
            RETRY_OPTIONS,
        );
    };

    return {
        readHead: async () => {
            const row = await readHeadRow();
            return row.kind === "read"
                ? { kind: "read", value: row.value ? parseHead(row.value.value) : undefined }
                : row;
        },
        readDocument: async digest => {
            const rows = await table.get(Priority.Submit, [revision.getDocumentKey(digest)]);
            return rows.kind === "read" ? rows.value[0]?.value : undefined;
        },
        change,
    };
}

const RETRY_OPTIONS = { retryAfterMs: 2000 };

/** SHA-256 of the document's UTF-8 text, in hexadecimal. */
export function getDigest(document: string): string {
    return crypto.createHash("sha256").update(document, "utf8").digest("hex");
}

function getOperationKey(operationId: string): string {
    return `configuration/operation/${operationId}`;
}

function parseHead(text: string): revision.ConfigurationHead {
    return revision.headSchema.parse(JSON.parse(text));
}

function refuseConflict(expected: number, found: number): ChangeResult {
    return result.refuse(
        result.ResultCode.ConfigurationConflict,
        `the configuration is at revision ${found}, not ${expected}: another operator changed it first`,
    );
}
