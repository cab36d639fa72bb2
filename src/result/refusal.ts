import * as codes from "./codes";

/** A truthful refusal: why, whether the work ran, and when to come back. */
export interface Refusal {
    readonly kind: "refusal";
    readonly code: codes.ResultCode;
    readonly message: string;
    readonly ran: codes.Ran;
    /** How long the caller should wait before it asks again, in milliseconds. */
    readonly retryAfterMs?: number;
}

interface RefusalOptions {
    readonly ran?: codes.Ran;
    readonly retryAfterMs?: number;
}

/** `ran` defaults to what the code itself implies. */
export function createRefusal(code: codes.ResultCode, message: string, options: RefusalOptions = {}): Refusal {
    return {
        kind: "refusal",
        code,
        message,
        ran: options.ran ?? codes.getResultInfo(code).ran,
        retryAfterMs: options.retryAfterMs,
    };
}

/** Shorthand for a failed `Result`. */
export function refuse(
    code: codes.ResultCode,
    message: string,
    options?: RefusalOptions,
): { ok: false; refusal: Refusal; } {
    return { ok: false, refusal: createRefusal(code, message, options) };
}

export function isRefusal(value: unknown): value is Refusal {
    return typeof value === "object" && !!value && (value as Partial<Refusal>).kind === "refusal";
}

export function getErrorMessage(err: unknown): string {
    return err instanceof Error ? err.message : String(err);
}

/** Turns anything thrown into a refusal; a fault that is not a refusal leaves open whether the work ran. */
export function refusalFromUnknown(err: unknown): Refusal {
    return isRefusal(err) ? err : createRefusal(codes.ResultCode.Internal, getErrorMessage(err));
}
