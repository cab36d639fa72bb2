/** Claims of request ids by rows in the table service, for accounts that chose them over the home alone. */
import * as platform from "../backing/index";
import * as result from "../result/index";
import * as workers from "../workers/index";

/** Resolves to whether the id was claimed now, or refuses when the table service cannot say. */
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
                    RETRY,
                );
            case "unknown":
                // The row may be there now. Taking the id for used only costs the answer when its home has forgotten it.
                return result.ok(false);
        }
    };
}

const RETRY = { retryAfterMs: 1000 };
