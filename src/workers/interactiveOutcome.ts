/** Outcomes of interactive requests: a verified answer, a failure, or a refusal. */
import type * as observe from "../observe/index";
import type * as peer from "../peer/index";
import * as result from "../result/index";
import * as answerCheck from "./answerCheck";
import type * as health from "./health";
import type * as port from "./workerPort";

/** Outcome of an interactive request, as sent between instances. */
export type RunOutcome = Exclude<peer.RunReply["outcome"], undefined>;

/** Options of `createOutcomeReader`. */
export interface OutcomeReaderOptions {
    readonly counters: observe.Counters;
    readonly health: health.WorkerHealth;
}

/** Verifies a worker's outcome and converts it to the outcome of the request. */
export type OutcomeReader = (outcome: port.RunOutcome, taskId: string, workerId: string) => RunOutcome;

/** Creates a reader that also records the worker's successes and failures. */
export function createOutcomeReader(options: OutcomeReaderOptions): OutcomeReader {
    const { counters } = options;

    return (outcome, taskId, workerId) => {
        switch (outcome.kind) {
            case "finished": {
                const check = answerCheck.checkAnswer(outcome.answer, taskId);
                if (check !== "whole") {
                    counters.increment(`answers.${check}`);
                    return refusal(result.ResultCode.AnswerInvalid, `the answer was ${check}`);
                }
                options.health.recordSuccess(workerId);
                return { $case: "answer", value: toAnswer(outcome.answer) };
            }
            case "failed":
                options.health.recordFailure(workerId, taskId);
                return { $case: "failure", value: { message: outcome.message } };
            case "stopped":
                return refusal(result.ResultCode.DeadlineExceeded, "the work was stopped at its deadline");
        }
    };
}

/** Whether the worker's answer was truncated or belonged to another task. */
export function isInvalidAnswer(outcome: RunOutcome): boolean {
    return outcome.$case === "refusal" && outcome.value.code === result.ResultCode.AnswerInvalid;
}

function toAnswer(answer: port.TaskAnswer): peer.Answer {
    return { taskId: answer.taskId, body: Buffer.from(answer.body), digest: answer.digest };
}

/** Creates a refusal; `ran` follows from the code. */
export function refusal(code: result.ResultCode, message: string, retryAfterMs = 0): RunOutcome {
    return { $case: "refusal", value: { code, message, ran: result.getResultInfo(code).ran, retryAfterMs } };
}
