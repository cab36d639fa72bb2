/** Checks that an answer is complete and belongs to its task. */
import * as crypto from "node:crypto";
import type * as port from "./workerPort";

/** `crossed`: the answer names another task. `truncated`: the body does not match its digest. */
export type AnswerCheck = "whole" | "crossed" | "truncated";

/**
 * Checks an answer before it is passed on. Connections are reused, so a late answer could be read as the answer to the
 * next request, and a caller could receive another caller's answer or a truncated one. The counters `answers.crossed`
 * and `answers.truncated` count such answers.
 */
export function checkAnswer(answer: port.TaskAnswer, taskId: string): AnswerCheck {
    if (answer.taskId !== taskId) {
        return "crossed";
    }
    return getBodyDigest(answer.body) === answer.digest ? "whole" : "truncated";
}

/** SHA-256 of the body, in hexadecimal. */
export function getBodyDigest(body: Uint8Array): string {
    return crypto.createHash("sha256").update(body).digest("hex");
}
