/** Polls the store for new submissions and cancellations. */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import * as rows from "../rows/index";
import * as work from "../work/index";

export interface FollowIntakeOptions {
    readonly store: rows.RowStore;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly signal: AbortSignal;
    /** Version of the table up to which its rows are known. */
    readonly after: number;
    onRows(changed: readonly rows.Row[]): void;
}

/** Duration of one poll; short, so that a dead connection is detected soon. */
const WAIT_MS = 1_000;
const SLACK_MS = 600;
/**
 * Timeout without a byte of a page. A page usually begins after 10 ms, at a store that is 60 times slower after 300 ms.
 */
const READ_SILENCE_MS = 1_500;
const RETRY_PAUSE_MS = 100;

/** Passes on changed rows of the intake until the signal is aborted. Reads all rows after a gap in the changes. */
export async function followIntake(options: FollowIntakeOptions): Promise<void> {
    const { store, signal } = options;
    let after = options.after;
    while (!signal.aborted) {
        const changes = await store.feed(work.Table.Jobs, after, WAIT_MS, WAIT_MS + SLACK_MS, rows.MAX_ANSWER_MS);
        if (signal.aborted) {
            return;
        }
        switch (changes.kind) {
            case "changes":
                after = Math.max(after, changes.version);
                options.onRows(changes.rows.filter(row => !row.removed));
                break;
            case "gap": {
                const all = await rows.readParts(
                    store,
                    work.Table.Jobs,
                    work.INTAKE_PARTS,
                    READ_SILENCE_MS,
                    rows.MAX_ANSWER_MS,
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
                await options.clock.sleep(RETRY_PAUSE_MS, signal);
                break;
        }
    }
}
