/** Claims of request ids by rows in the table service, for accounts that do not rely on the home worker alone. */
import * as platform from "../backing/index";
import * as result from "../result/index";
import * as workers from "../workers/index";

/** Creates a function that claims a request id: true if it is new, a refusal if the table service is down. */
export function createRowClaims(
    table: platform.GuardedTable,
): (account: string, requestId: string) => Promise<result.Result<boolean>> {
    return async (account, requestId) => {
        const key = `once/${workers.getOnceTaskId(account, requestId)}`;
        const written = await table.transact(platform.Priority.Submit, [{ key, expectedVersion: 0, value: "1" }]);
        switch (written.kind) {
            case "committed":
                return result.ok(true);
            case "conflict":
                return result.ok(false);
            case "unavailable":
                return result.refuse(
                    result.ResultCode.StoreUnavailable,
                    "the request id cannot be claimed while the table service is down",
                    RETRY_OPTIONS,
                );
            case "unknown":
                // The row may exist. Treating the id as used is safe; the request only fails if its home restarted.
                return result.ok(false);
        }
    };
}

const RETRY_OPTIONS = { retryAfterMs: 1000 };
