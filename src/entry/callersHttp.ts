/** HTTP API of callers; docs/OPERATING.md shows its use. */
import * as broker from "../broker/index";
import type * as configuration from "../configuration/index";
import * as result from "../result/index";
import type * as callersApi from "./callersApi";
import type * as interactiveRouter from "./interactiveRouter";
import * as submission from "./submission";

interface CallersHttpOptions {
    readonly api: callersApi.CallersApi;
    /** Finds the account of a key; `undefined` if the key is unknown or expired. */
    readonly authenticate: (key: string) => configuration.Account | undefined;
    readonly activity: Activity;
}

/** Counts the calls in progress, so that a shutdown can wait for them. */
export interface Activity {
    /** Registers a call; the returned function unregisters it. */
    enter(): () => void;
    /** Whether no call is in progress. */
    isIdle(): boolean;
}

/** Creates a counter at zero. */
export function createActivity(): Activity {
    let count = 0;
    return {
        enter: () => {
            count++;
            return () => {
                count--;
            };
        },
        isIdle: () => count === 0,
    };
}

/** Maximum `waitMs` of a call. */
const MAX_WAIT_MS = 120_000;

/** Creates the HTTP routes of callers. */
export function createCallersHttp(options: CallersHttpOptions): broker.HttpRoute[] {
    const { api } = options;

    const withAccount = (
        handle: (account: configuration.Account, call: broker.HttpCall) => Promise<broker.HttpAnswer>,
    ) =>
    async (call: broker.HttpCall): Promise<broker.HttpAnswer> => {
        const account = options.authenticate(call.key);
        if (!account) {
            const message = "the key is missing, unknown or expired";
            return broker.createRefusalAnswer(result.createRefusal(result.ResultCode.Unauthorized, message));
        }
        const exit = options.activity.enter();
        try {
            return await handle(account, call);
        }
        catch (err) {
            return broker.createRefusalAnswer(result.refusalFromUnknown(err));
        }
        finally {
            exit();
        }
    };

    const submit = async (account: configuration.Account, call: broker.HttpCall): Promise<broker.HttpAnswer> => {
        const submitted = submission.parseSubmission(call.body);
        if (!submitted.ok) {
            return broker.createRefusalAnswer(submitted.refusal);
        }
        if (submitted.value.class === "interactive") {
            return toInteractiveAnswer(await api.submitInteractive(account, submitted.value));
        }
        return toJobAnswer(await api.submitJob(account, submitted.value, readWaitMs(call)), 202);
    };

    return [
        { alias: "POST /v1/jobs", action: "submit", handle: withAccount(submit) },
        {
            alias: "GET /v1/jobs/:requestId",
            action: "get",
            handle: withAccount(async (account, call) =>
                toJobAnswer(await api.getJob(account, call.path["requestId"]!, readWaitMs(call)), 200)
            ),
        },
        {
            alias: "DELETE /v1/jobs/:requestId",
            action: "cancel",
            handle: withAccount(async (account, call) =>
                toJobAnswer(await api.cancelJob(account, call.path["requestId"]!), 200)
            ),
        },
        {
            alias: "GET /v1/jobs/:requestId/result",
            action: "result",
            handle: withAccount(async (account, call) => {
                const found = await api.getResult(account, call.path["requestId"]!);
                return found.ok ? { status: 200, body: found.value } : broker.createRefusalAnswer(found.refusal);
            }),
        },
    ];
}

/** Reads `waitMs` from the query, clamped to 0 and `MAX_WAIT_MS`; 0 if it is absent or not a number. */
function readWaitMs(call: broker.HttpCall): number {
    const waitMs = Number(call.query["waitMs"] ?? 0);
    return Number.isFinite(waitMs) ? Math.min(MAX_WAIT_MS, Math.max(0, waitMs)) : 0;
}

/** Response header with the id of the request. */
const REQUEST_ID_HEADER = "x-request-id";

function toInteractiveAnswer(outcome: interactiveRouter.InteractiveOutcome): broker.HttpAnswer {
    switch (outcome.kind) {
        case "done":
            return { status: 200, body: outcome.body, headers: { [REQUEST_ID_HEADER]: outcome.requestId } };
        case "failed": {
            const failure = result.createRefusal(result.ResultCode.TaskFailed, outcome.message);
            return broker.createRefusalAnswer(failure, outcome.requestId);
        }
        case "refused":
            return broker.createRefusalAnswer(outcome.refusal, outcome.requestId);
    }
}

function toJobAnswer(view: result.Result<callersApi.JobView>, status: number): broker.HttpAnswer {
    return view.ok
        ? { status, body: view.value, headers: { [REQUEST_ID_HEADER]: view.value.requestId } }
        : broker.createRefusalAnswer(view.refusal);
}
