/** Follows new submissions and cancellations. */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import * as rows from "../rows/index";
import * as work from "../work/index";

export interface FollowIntakeOptions {
    readonly store: rows.RowStore;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly signal: AbortSignal;
    /** Version up to which the table is known. */
    readonly after: number;
    onRows(changed: readonly rows.Row[]): void;
}

/** One poll ends after this long, so that a connection that fell silent is given up soon after. */
const WAIT_MS = 1_000;
const SLACK_MS = 600;
const MOST_SLACK_MS = 10_000;
const READ_TIMEOUT_MS = 5_000;
const RETRY_PAUSE_MS = 100;

export async function followIntake(options: FollowIntakeOptions): Promise<void> {
    const { store, signal } = options;
    let after = options.after;
    let slackMs = SLACK_MS;
    while (!signal.aborted) {
        const changes = await store.feed(work.Table.Jobs, after, WAIT_MS, WAIT_MS + slackMs);
        if (signal.aborted) {
            return;
        }
        switch (changes.kind) {
            case "changes":
                slackMs = SLACK_MS;
                after = Math.max(after, changes.version);
                options.onRows(changes.rows.filter(row => !row.removed));
                break;
            case "gap": {
                const all = await rows.readAll(
                    store,
                    { table: work.Table.Jobs, part: work.INTAKE_PART },
                    READ_TIMEOUT_MS,
                );
                if (all.kind === "read") {
                    options.log.info("intakeReadAnew", { rows: all.rows.length, version: all.version });
                    after = all.version;
                    options.onRows(all.rows);
                }
                break;
            }
            case "unavailable":
                options.log.info("intakeUnavailable", { why: changes.message });
                // All that came meanwhile is in the next answer, which may need longer on a weak link.
                slackMs = Math.min(2 * slackMs, MOST_SLACK_MS);
                await options.clock.sleep(RETRY_PAUSE_MS, signal);
                break;
        }
    }
}
