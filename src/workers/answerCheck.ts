/** Checks that an answer is whole and belongs to its task. */
import * as crypto from "node:crypto";
import type * as port from "./workerPort";

export type AnswerCheck = "whole" | "crossed" | "truncated";

/**
 * Without this check a caller could get half an answer, or another caller's: connections are reused, and an answer that
 * comes late may meet the next request. The counters `answers.crossed` and `answers.truncated` show it.
 */
export function checkAnswer(answer: port.TaskAnswer, taskId: string): AnswerCheck {
    if (answer.taskId !== taskId) {
        return "crossed";
    }
    return getBodyDigest(answer.body) === answer.digest ? "whole" : "truncated";
}

export function getBodyDigest(body: Uint8Array): string {
    return crypto.createHash("sha256").update(body).digest("hex");
}
