/** Reads and changes the configuration in the platform's table service. */
import * as crypto from "node:crypto";
import * as platform from "../backing/index";
import type * as clock from "../clock/index";
import * as result from "../result/index";
import * as revision from "./revision";
import * as schema from "./siteSchema";

export interface ChangeRequest {
    /** Chosen by the operator's program; the same id never changes anything twice. */
    readonly operationId: string;
    /** The revision that the operator saw; another one in force means a conflict. */
    readonly expectedRevision: number;
    readonly contracts: schema.Contracts;
    readonly topology: schema.Topology;
    readonly preset: string;
}

export type ChangeResult = result.Result<revision.ConfigurationHead>;

export interface ConfigurationStore {
    readHead(): Promise<platform.ReadResult<revision.ConfigurationHead | undefined>>;
    /** `undefined` when the store does not answer, or does not have the document (yet). */
    readDocument(digest: string): Promise<string | undefined>;
    change(req: ChangeRequest): Promise<ChangeResult>;
}

interface StoreOptions {
    readonly table: platform.GuardedTable;
    readonly clock: clock.Clock;
    readonly retry: platform.RetryPolicy;
    /** Time between the acceptance of a change and the moment from which it holds. */
    readonly leadMs: number;
    /** How long a lost answer is read back before the outcome is reported as not known. */
    readonly resolveMs: number;
}

const { Priority } = platform;

export function createConfigurationStore(options: StoreOptions): ConfigurationStore {
    const { table, clock: time } = options;

    const readHeadRow = async () => {
        const rows = await table.get(Priority.Poll, [revision.HEAD_KEY]);
        return rows.kind === "read" ? { kind: "read" as const, value: rows.value[0] } : rows;
    };

    /** The head that the operation created, also when later changes followed it. */
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
        const done = await readOperation(req.operationId);
        if (done.kind === "read" && done.value) {
            return result.ok(done.value);
        }
        const headRow = await readHeadRow();
        if (done.kind !== "read" || headRow.kind !== "read") {
            return result.refuse(
                result.ResultCode.StoreUnavailable,
                "the table service did not answer; nothing changed",
                RETRY,
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
                RETRY,
            );
        }
        const head: revision.ConfigurationHead = {
            revision: req.expectedRevision + 1,
            preset: req.preset,
            contractsDigest: getDigest(contracts),
            topologyDigest: getDigest(topology),
            // Later than the predecessor's, so that the order in which revisions take effect is that of their numbers.
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
                return result.refuse(result.ResultCode.StoreUnavailable, `${written.message}; nothing changed`, RETRY);
            case "conflict":
            case "unknown":
                return resolve(req);
        }
    };

    /**
     * Finds out what became of a change whose answer was lost, or that met a conflict (perhaps with its own first
     * sending). Taking a lost answer for a failure would tell an operator that a preset in force is not in force.
     */
    const resolve = async (req: ChangeRequest): Promise<ChangeResult> => {
        const giveUpAt = time.now() + options.resolveMs;
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
            RETRY,
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

const RETRY = { retryAfterMs: 2000 };

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
