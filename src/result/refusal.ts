import * as codes from "./codes";

/** A refusal: the reason, whether the work ran, and when to retry. */
export interface Refusal {
    readonly kind: "refusal";
    readonly code: codes.ResultCode;
    readonly message: string;
    readonly ran: codes.Ran;
    /** How long the caller should wait before it retries, in milliseconds. */
    readonly retryAfterMs?: number;
}

interface RefusalOptions {
    readonly ran?: codes.Ran;
    readonly retryAfterMs?: number;
}

/** Creates a refusal. `ran` defaults to the value of the code. */
export function createRefusal(code: codes.ResultCode, message: string, options: RefusalOptions = {}): Refusal {
    return {
        kind: "refusal",
        code,
        message,
        ran: options.ran ?? codes.getResultInfo(code).ran,
        retryAfterMs: options.retryAfterMs,
    };
}

/** Creates a failed `Result`. */
export function refuse(
    code: codes.ResultCode,
    message: string,
    options?: RefusalOptions,
): { ok: false; refusal: Refusal; } {
    return { ok: false, refusal: createRefusal(code, message, options) };
}

/** Whether the value is a refusal. */
export function isRefusal(value: unknown): value is Refusal {
    return typeof value === "object" && !!value && (value as Partial<Refusal>).kind === "refusal";
}

/** The message of an error, or the thrown value as a string. */
export function getErrorMessage(err: unknown): string {
    return err instanceof Error ? err.message : String(err);
}

/** Converts a thrown value to a refusal. Any other value than a refusal leaves it unknown whether the work ran. */
export function refusalFromUnknown(err: unknown): Refusal {
    return isRefusal(err) ? err : createRefusal(codes.ResultCode.Internal, getErrorMessage(err));
}
