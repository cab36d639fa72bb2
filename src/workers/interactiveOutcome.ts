/** What callers get of an interactive request: an answer that was checked, a failure, or a refusal. */
import type * as observe from "../observe/index";
import type * as peer from "../peer/index";
import * as result from "../result/index";
import * as answerCheck from "./answerCheck";
import type * as health from "./health";
import type * as port from "./workerPort";

export type RunOutcome = Exclude<peer.RunReply["outcome"], undefined>;

export interface OutcomeReaderOptions {
    readonly counters: observe.Counters;
    readonly health: health.WorkerHealth;
}

/** Takes an outcome of the worker as an answer to the request, if it is one. */
export type OutcomeReader = (outcome: port.RunOutcome, taskId: string, workerId: string) => RunOutcome;

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

export function isInvalidAnswer(outcome: RunOutcome): boolean {
    return outcome.$case === "refusal" && outcome.value.code === result.ResultCode.AnswerInvalid;
}

function toAnswer(answer: port.TaskAnswer): peer.Answer {
    return { taskId: answer.taskId, body: Buffer.from(answer.body), digest: answer.digest };
}

export function refusal(code: result.ResultCode, message: string, retryAfterMs = 0): RunOutcome {
    return { $case: "refusal", value: { code, message, ran: result.getResultInfo(code).ran, retryAfterMs } };
}
