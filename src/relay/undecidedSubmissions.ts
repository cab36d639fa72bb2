/**
 * Withholds refusals of a submission while another copy of it may still be carried out.
 *
 * A caller repeats a submission that got no answer or an undecided one. The job may be stored by the first copy after the
 * second one is refused, so the refusal, which says that the job never runs, would not be true.
 */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as messages from "./messages";
import * as replies from "./replies";

/** Ports of the record. */
export interface UndecidedSubmissionsOptions {
    readonly clock: Pick<clock.Clock, "now">;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
}

/** The submissions that this instance serves or has left undecided. */
export interface UndecidedSubmissions {
    /**
     * Serves a request by `serve`. The reply to a submission is undecided instead of a refusal if another copy of the
     * submission is being served here, or was left undecided in the last minute.
     */
    serve(
        request: messages.CallerRequest,
        serve: () => Promise<messages.CallerReply>,
    ): Promise<messages.CallerReply>;
}

/** Longer than the store may take to carry out a write late. */
const RETENTION_MS = 60_000;
/** Some 200 bytes each. */
const MAX_UNDECIDED = 1_000;

/** Creates an empty record. */
export function createUndecidedSubmissions(options: UndecidedSubmissionsOptions): UndecidedSubmissions {
    const servingByJob = new Map<string, number>();
    /** When each submission was left undecided, the earliest first. */
    const undecidedSince = new Map<string, number>();

    const countServing = (key: string, change: number) => {
        const count = (servingByJob.get(key) ?? 0) + change;
        if (count > 0) {
            servingByJob.set(key, count);
        }
        else {
            servingByJob.delete(key);
        }
    };
    const recordUndecided = (key: string) => {
        undecidedSince.delete(key);
        undecidedSince.set(key, options.clock.now());
        if (undecidedSince.size > MAX_UNDECIDED) {
            const [oldest] = undecidedSince.keys();
            undecidedSince.delete(oldest!);
        }
    };
    const mayBeCarriedOut = (key: string) =>
        servingByJob.has(key) || options.clock.now() - (undecidedSince.get(key) ?? -Infinity) <= RETENTION_MS;

    return {
        serve: async (request, serve) => {
            if (request.method !== "POST") {
                return serve();
            }
            const key = `${request.host}${request.path}`;
            countServing(key, 1);
            const reply = await serve().finally(() => countServing(key, -1));
            if (replies.isCarriedOut(request, reply)) {
                undecidedSince.delete(key);
                return reply;
            }
            if (reply.status === replies.Status.Undecided) {
                recordUndecided(key);
                return reply;
            }
            if (!mayBeCarriedOut(key)) {
                return reply;
            }
            options.log.info("refusalWithheld", {
                request: request.requestId,
                path: request.path,
                status: reply.status,
            });
            options.meter.increment("refusals_withheld_total");
            return replies.EARLIER_COPY_UNDECIDED;
        },
    };
}
