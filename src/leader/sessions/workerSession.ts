/**
 * The leader's session with one worker incarnation: polls that renew leases and return ends, and orders.
 *
 * A loop polls as long as the worker has tasks or unacknowledged ends. A poll waits at the worker for the next end, so
 * an end is known at once, and an idle worker is not polled.
 */
import type * as clock from "../../clock/index";
import type * as observe from "../../observe/index";
import * as incarnations from "../incarnation";
import type * as leases from "../lease/index";
import * as initialPollLimiter from "./initialPollLimiter";
import * as leaseExpiry from "./leaseExpiry";
import * as port from "./workerPort";

/** The answer to a poll, without ends that were returned before. */
export interface PollResult {
    /** Monotonic time at which the poll was sent; runs that were confirmed later may be missing from the result. */
    readonly sentAt: number;
    readonly running: readonly port.RunningTask[];
    /** Ends that earlier polls did not return. */
    readonly ended: readonly port.TaskEnd[];
    /** Whether the list of ends was complete. */
    readonly isEndListComplete: boolean;
}

/** What the session needs, and the callbacks that it reports to. */
export interface WorkerSessionOptions {
    readonly worker: port.WorkerAddress;
    /** The incarnation of the session; all state of the session holds for it alone. */
    readonly incarnation: incarnations.Incarnation;
    readonly port: port.WorkerPort;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly leadership: leases.Leadership;
    readonly pollLimiter: initialPollLimiter.InitialPollLimiter;
    /** Maximum duration of the worker's leases, in milliseconds. */
    readonly maxLeaseMs: number;
    /** Whether the worker has or may have tasks. */
    isBusy(): boolean;
    /** Maximum time that a poll may wait at the worker, in milliseconds. */
    getPollWaitMs(): number;
    /** Handles the result of a poll; resolves when its ends are stored. */
    onPollResult(pollResult: PollResult): Promise<void>;
    /** The incarnation of the session has answered, and said that it is this one. */
    onConfirmed(): void;
    /** Another worker answers at the address, or all leases there have expired. */
    onLost(reason: "otherLife" | "lapsed"): void;
    /** The worker's next incarnation has answered, so this one has ended. */
    onNextIncarnation(next: incarnations.Incarnation, pollResult: PollResult): void;
    /** Called after each answered poll, and after each unanswered poll of the session's loop. */
    onReachability(isReachable: boolean): void;
    /** A poll has failed before its timeout: its connection broke or was refused. */
    onDisconnected(): void;
    /** The worker has refused an order because it knows a higher fencing token. */
    onFenced(): void;
}

/** Sends orders and polls to one incarnation. */
export interface WorkerSession {
    /** Whether the worker has answered within the last `maxSilenceMs`. */
    hasAnsweredWithin(maxSilenceMs: number): boolean;
    /** Like `hasAnsweredWithin`, but polls the worker once if it has not. */
    ensureReachable(maxSilenceMs: number): Promise<boolean>;
    /**
     * Sends a start order with the leader's token and a new deadline; never rejects. The worker refuses the order after
     * `validMs`, and the next poll extends the lease.
     */
    start(
        order: Omit<port.StartOrder, "fencingToken" | "deadline">,
        options?: { readonly validMs?: number; readonly timeoutMs?: number; },
    ): Promise<port.OrderAnswer>;
    stop(order: Omit<port.RunOrder, "fencingToken">, timeoutMs?: number): Promise<port.OrderAnswer>;
    pace(order: Omit<port.PaceOrder, "fencingToken">): Promise<port.OrderAnswer>;
    /** Polls at once, beside a poll of the loop that may be in flight. */
    pollNow(): void;
    /** Ends the polls of the session; answers in flight are ignored. */
    close(): void;
}

/** Added to the wait of a poll: the round trip takes 1 ms, and a loaded worker answers within about 100 ms. */
const POLL_SLACK_MS = 600;
/** Orders are answered within milliseconds; gangs wait until an order without an answer is resolved. */
const ORDER_TIMEOUT_MS = 600;
const RETRY_PAUSE_MS = 150;
/**
 * Longest pause between polls of an idle worker that has never answered. Its entry in the directory may be another
 * writer's, and there may be hundreds of them.
 */
const MAX_UNPROVEN_RETRY_PAUSE_MS = 1_000;
/** The last ends of an idle worker are acknowledged after this time, unless a new task causes a poll before. */
const LAST_POLL_DELAY_MS = 400;

/** A worker that was idle for longer is polled before a start: its clock may have fallen behind by 0.2 s. */
const MAX_CLOCK_AGE_MS = 10_000;

/** Opens a session and starts its poll loop. */
export function createWorkerSession(options: WorkerSessionOptions): WorkerSession {
    const { worker, incarnation, clock: time, leadership } = options;
    const id = incarnations.getIncarnationId(incarnation);
    const controller = new AbortController();
    const { signal } = controller;
    let workerClock: leaseExpiry.ClockReading | undefined;
    /** The leader's time at which all leases of the worker have expired unless they are renewed. */
    let expiresAt = leaseExpiry.getExpiresAt(
        Math.max(leadership.predecessorsInactiveAt, time.now()),
        options.maxLeaseMs,
    );
    let lastEndNumber = 0;
    let recordedUpTo = 0;
    let acknowledgedUpTo = 0;
    let mustPoll = true;
    let isPollNowPending = false;
    let lastPollAt = -Infinity;
    /** When the latest poll that this incarnation has answered was sent. */
    let lastAnsweredPollAt = -Infinity;
    let startsInFlight = 0;
    /** When a start was last sent, answered or timed out. */
    let lastStartAt = -Infinity;
    let isReachable = false;
    let hasAcceptedToken = false;
    /** Whether a first poll was attempted. */
    let hasTried = false;
    let isEnded = false;
    let retryPauseMs = RETRY_PAUSE_MS;
    /** How the polls since the latest answer have failed; logged when it changes. */
    let failure: string | undefined;
    let wake: (() => void) | undefined;

    const learnClock = (value: number | undefined) => {
        if (value !== undefined && value > 0) {
            // The reading is older than its arrival, so the clock is never overestimated, and a deadline computed from
            // it is never too late. Counting from when the poll was sent would be wrong: it may have waited for
            // seconds.
            workerClock = { value, readAt: time.now() };
        }
    };
    const getDeadline = (leaseMs = options.maxLeaseMs) => {
        if (!workerClock) {
            return undefined;
        }
        const now = time.now();
        expiresAt = Math.max(expiresAt, leaseExpiry.getExpiresAt(now, leaseMs));
        return Math.floor(leaseExpiry.getMinClock(workerClock, now) + leaseMs);
    };
    const setReachable = (next: boolean) => {
        if (isReachable !== next) {
            isReachable = next;
            options.log.info(next ? "workerHeard" : "workerSilent", { worker: id });
        }
        options.onReachability(next);
    };
    const endIncarnation = (reason: "otherLife" | "lapsed") => {
        if (!isEnded || reason === "lapsed") {
            isEnded = reason === "otherLife";
            options.onLost(reason);
        }
    };
    /** Handles the parts of an answer that do not depend on the order. */
    const handleAnswer = (answer: port.OrderAnswer | port.PollAnswer) => {
        switch (answer.kind) {
            case "accepted":
            case "lists":
                learnClock(answer.workerClock);
                break;
            case "refused":
                learnClock(answer.workerClock);
                if (answer.reason === "fence") {
                    options.onFenced();
                }
                break;
            case "otherLife":
                endIncarnation("otherLife");
                break;
            case "unwell":
            case "unreachable":
            case "unknown":
                break;
        }
    };
    const hasUnacknowledgedEnds = () => recordedUpTo > acknowledgedUpTo;
    /**
     * An acknowledgement names end numbers, and the incarnation that receives it may be the next one. It is safe as
     * long as that one cannot have an end yet: no start was sent since this incarnation last answered.
     */
    const mayAcknowledge = () => isReachable && startsInFlight === 0 && lastAnsweredPollAt > lastStartAt;
    const poll = async (waitMs: number): Promise<boolean> => {
        const sentAt = time.now();
        lastPollAt = sentAt;
        const acknowledged = hasUnacknowledgedEnds() && mayAcknowledge() ? recordedUpTo : 0;
        const timeoutMs = waitMs + POLL_SLACK_MS;
        const answer = await options.port.poll(worker, {
            fencingToken: leadership.token,
            recordedUpTo: acknowledged,
            // Polls of an unreachable worker renew no lease: they may be carried out late, so with every further poll
            // the time by which the leases have certainly expired would move on.
            deadline: isReachable ? getDeadline() : undefined,
            waitMs,
        }, timeoutMs);
        if (signal.aborted) {
            return false;
        }
        if (answer.kind === "lists" && answer.startedAt !== 0 && answer.startedAt !== incarnation.startedAt) {
            handleOtherIncarnation(answer, sentAt);
            return false;
        }
        handleAnswer(answer);
        if (answer.kind !== "lists") {
            lastAnsweredPollAt = -Infinity;
            if (answer.kind !== "otherLife") {
                const isBrokenOff = isNoAnswer(answer) && time.now() - sentAt < timeoutMs;
                if (failure !== `${answer.kind} ${isBrokenOff}`) {
                    failure = `${answer.kind} ${isBrokenOff}`;
                    options.log.info("lookFailed", { worker: id, answer: answer.kind, isBrokenOff });
                }
                if (isBrokenOff) {
                    options.onDisconnected();
                }
            }
            return false;
        }
        failure = undefined;
        lastAnsweredPollAt = Math.max(lastAnsweredPollAt, sentAt);
        if (answer.startedAt !== 0) {
            options.onConfirmed();
        }
        if (!hasAcceptedToken) {
            // The worker now refuses earlier leaders, so only this leader's grants count.
            hasAcceptedToken = true;
            expiresAt = leaseExpiry.getExpiresAt(time.now(), options.maxLeaseMs);
        }
        mustPoll = false;
        acknowledgedUpTo = Math.max(acknowledgedUpTo, acknowledged);
        const newEnds = answer.ended.filter(end => end.number > lastEndNumber);
        lastEndNumber = newEnds.reduce((max, end) => Math.max(max, end.number), lastEndNumber);
        const upTo = lastEndNumber;
        setReachable(true);
        void options.onPollResult({
            sentAt,
            running: answer.running,
            ended: newEnds,
            isEndListComplete: answer.ended.length < port.MAX_ENDS_LISTED,
        }).then(() => {
            recordedUpTo = Math.max(recordedUpTo, upTo);
            wake?.();
        });
        return true;
    };
    const handleOtherIncarnation = (answer: Extract<port.PollAnswer, { kind: "lists"; }>, sentAt: number) => {
        const { startedAt, running, ended } = answer;
        if (startedAt < incarnation.startedAt) {
            options.log.warn("lookOutdated", { worker: id, bornAt: startedAt });
            return;
        }
        if (!isEnded) {
            isEnded = true;
            options.onNextIncarnation(
                { name: incarnation.name, startedAt },
                { sentAt, running, ended, isEndListComplete: ended.length < port.MAX_ENDS_LISTED },
            );
        }
    };
    const pollFirst = async () => {
        const { PollPriority } = initialPollLimiter;
        const release = await options.pollLimiter.acquire(
            hasTried ? PollPriority.Retry : options.isBusy() ? PollPriority.Busy : PollPriority.Idle,
        );
        hasTried = true;
        const answered = !signal.aborted && leadership.mayExtendTaskLeases() && await poll(0);
        release();
        return answered;
    };
    const pause = (ms: number) =>
        new Promise<void>(resolve => {
            const cancel = time.setTimer(ms, () => finish());
            const finish = () => {
                cancel();
                wake = undefined;
                resolve();
            };
            wake = finish;
        });
    const loop = async () => {
        let idleSince: number | undefined;
        while (!signal.aborted && !isEnded) {
            const busy = options.isBusy();
            const hasUnacknowledged = hasUnacknowledgedEnds();
            if (busy) {
                idleSince = undefined;
            }
            else {
                idleSince ??= time.now();
            }
            const isLastPollDue = hasUnacknowledged && idleSince !== undefined
                && time.now() - idleSince >= LAST_POLL_DELAY_MS;
            if (!busy && !mustPoll && !isLastPollDue) {
                await pause(hasUnacknowledged ? LAST_POLL_DELAY_MS : IDLE_PAUSE_MS);
                continue;
            }
            if (lastEndNumber > recordedUpTo && time.now() - lastPollAt < MIN_UNRECORDED_POLL_INTERVAL_MS) {
                // Until the ends are recorded a poll would return them again at once.
                await pause(MIN_UNRECORDED_POLL_INTERVAL_MS - (time.now() - lastPollAt));
                continue;
            }
            if (!leadership.mayExtendTaskLeases()) {
                await pause(RETRY_PAUSE_MS);
                continue;
            }
            const isAcknowledging = !hasUnacknowledged || mayAcknowledge();
            const waitMs = busy && !mustPoll && workerClock && isAcknowledging ? options.getPollWaitMs() : 0;
            if (!await (hasAcceptedToken ? poll(waitMs) : pollFirst())) {
                if (signal.aborted || isEnded) {
                    return;
                }
                setReachable(false);
                mustPoll = true;
                if (options.isBusy() && time.now() > expiresAt) {
                    endIncarnation("lapsed");
                }
                const isUnproven = !hasAcceptedToken && !options.isBusy();
                retryPauseMs = isUnproven ? Math.min(2 * retryPauseMs, MAX_UNPROVEN_RETRY_PAUSE_MS) : RETRY_PAUSE_MS;
                await pause(retryPauseMs);
            }
        }
    };
    const runPollNow = async () => {
        if (isPollNowPending) {
            return;
        }
        isPollNowPending = true;
        await Promise.resolve();
        isPollNowPending = false;
        if (!signal.aborted && leadership.mayExtendTaskLeases()) {
            await poll(0);
        }
    };
    const sendStart = async (request: port.StartOrder, timeoutMs: number) => {
        startsInFlight++;
        lastStartAt = time.now();
        const answer = await options.port.start(worker, request, timeoutMs);
        startsInFlight--;
        lastStartAt = time.now();
        return answer;
    };
    const sendOrder = async <T extends port.OrderAnswer>(send: () => Promise<T>): Promise<port.OrderAnswer> => {
        if (!leadership.mayIssueOrders()) {
            return { kind: "unreachable", message: "the leader's lease may have expired" };
        }
        const answer = await send();
        if (!signal.aborted) {
            handleAnswer(answer);
        }
        return answer;
    };
    const hasAnsweredWithin = (maxSilenceMs: number) =>
        workerClock !== undefined && time.now() - workerClock.readAt <= maxSilenceMs;
    const ensureReachable = async (maxSilenceMs: number) => hasAnsweredWithin(maxSilenceMs) || poll(0);
    void loop();

    return {
        hasAnsweredWithin,
        ensureReachable,
        start: async (request, { validMs, timeoutMs = ORDER_TIMEOUT_MS } = {}) => {
            if (workerClock && !await ensureReachable(MAX_CLOCK_AGE_MS)) {
                return { kind: "unreachable", message: "the last reading of the worker's clock is too old" };
            }
            const deadline = getDeadline(validMs);
            if (deadline === undefined) {
                return { kind: "unreachable", message: "no reading of the worker's clock yet" };
            }
            wake?.();
            return sendOrder(() => sendStart({ ...request, fencingToken: leadership.token, deadline }, timeoutMs));
        },
        stop: (request, timeoutMs = ORDER_TIMEOUT_MS) =>
            sendOrder(() => options.port.stop(worker, { ...request, fencingToken: leadership.token }, timeoutMs)),
        pace: request =>
            sendOrder(() =>
                options.port.pace(worker, { ...request, fencingToken: leadership.token }, ORDER_TIMEOUT_MS)
            ),
        pollNow: () => void runPollNow(),
        close: () => {
            controller.abort();
            wake?.();
        },
    };
}

function isNoAnswer({ kind }: port.PollAnswer): boolean {
    return kind === "unknown" || kind === "unreachable";
}

/**
 * Minimum interval of polls while ends are not recorded, for example during an outage of the store. Such polls only
 * renew the leases, of which the shortest is 6 s; without the bound they would follow each other without a pause.
 */
const MIN_UNRECORDED_POLL_INTERVAL_MS = 1_000;
/** The loop of an idle worker is woken by its next order; this bounds the delay if a wake-up is missed. */
const IDLE_PAUSE_MS = 5_000;
