/**
 * The leader's conversation with one worker: looks that prolong leases and bring ends, and the orders.
 *
 * One loop looks as long as anything runs there or an end is not yet forgotten; a look waits at the worker for the
 * next end, so an idle worker costs nothing and an end is known at once.
 */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as heldLease from "./heldLease";
import * as lives from "./incarnation";
import * as firstLooks from "./initialPollLimiter";
import * as lapse from "./leaseExpiry";
import * as port from "./workerPort";

export interface PollResult {
    /** Monotonic time at which the look was sent: what was confirmed later may be missing from it. */
    readonly sentAt: number;
    readonly running: readonly port.RunningTask[];
    /** Ends not seen before. */
    readonly ended: readonly port.TaskEnd[];
    /** Whether the list of ends was complete. */
    readonly isEndListComplete: boolean;
}

export interface WorkerSessionOptions {
    readonly worker: port.WorkerAddress;
    /** The life that is meant: all that the session knows is known of it alone. */
    readonly incarnation: lives.Incarnation;
    readonly port: port.WorkerPort;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly leadership: heldLease.Leadership;
    readonly pollLimiter: firstLooks.InitialPollLimiter;
    /** Longest lease that the worker grants. */
    readonly maxLeaseMs: number;
    /** Whether tasks are there, or may be. */
    isBusy(): boolean;
    /** How long a look may wait at the worker. */
    getPollWaitMs(): number;
    /** Takes note of a look; resolves when what it said is stored. */
    onPollResult(lists: PollResult): Promise<void>;
    /** Another worker answers at the address, or all that could run there has lapsed. */
    onLost(how: "otherLife" | "lapsed"): void;
    /** The worker's next life has answered: this one is over. */
    onNextIncarnation(next: lives.Incarnation, lists: PollResult): void;
    onReachability(heard: boolean): void;
    /** A look has failed before its time was over: its connection broke or was refused. */
    onDisconnected(): void;
    onFenced(): void;
}

export interface WorkerSession {
    /** Whether the worker has answered within that time. */
    hasAnsweredWithin(longestSilenceMs: number): boolean;
    /** Whether it has, or answers to a look now. */
    ensureReachable(longestSilenceMs: number): Promise<boolean>;
    start(order: Omit<port.StartOrder, "fencingToken" | "deadline">): Promise<port.OrderAnswer>;
    stop(order: Omit<port.RunOrder, "fencingToken">): Promise<port.OrderAnswer>;
    pace(order: Omit<port.PaceOrder, "fencingToken">): Promise<port.OrderAnswer>;
    /** Has the loop look without waiting for the answer to the look under way. */
    pollNow(): void;
    close(): void;
}

/** Beyond the wait of a look: the way there and back is 1 ms, a loaded worker answers within some 100 ms. */
const LOOK_SLACK_MS = 600;
/** An order is answered within milliseconds; one without an answer is settled, and gangs wait for it. */
const ORDER_TIMEOUT_MS = 600;
const RETRY_PAUSE_MS = 150;
/** An idle worker's last ends are acknowledged this much later, unless a new task brings a look before. */
const LAST_LOOK_DELAY_MS = 400;

/** A worker that was idle for longer is looked at before a start: its clock may have fallen behind by 0.2 s since. */
const LONGEST_CLOCK_AGE_MS = 10_000;

export function createWorkerSession(options: WorkerSessionOptions): WorkerSession {
    const { worker, incarnation: life, clock: time, leadership } = options;
    const id = lives.getIncarnationId(life);
    const controller = new AbortController();
    const { signal } = controller;
    let workerClock: lapse.ClockReading | undefined;
    /** Our time by which everything there has lapsed unless it is prolonged. */
    let lapsedAt = lapse.getExpiresAt(Math.max(leadership.predecessorsInactiveAt, time.now()), options.maxLeaseMs);
    let lastEnd = 0;
    let recordedUpTo = 0;
    let acknowledgedUpTo = 0;
    let mustLook = true;
    let lookNowWanted = false;
    let lastLookAt = -Infinity;
    /** When the latest look was sent that this life has answered. */
    let provenAt = -Infinity;
    let startsUnderWay = 0;
    /** When a start last went out, was answered or was given up. */
    let lastStartAt = -Infinity;
    let heard = false;
    let fenced = false;
    /** A first look went out before. */
    let tried = false;
    let gone = false;
    let wake: (() => void) | undefined;

    const learnClock = (shown: number | undefined) => {
        if (shown !== undefined && shown > 0) {
            // The answer left the worker before it came here, so this is never too high, and a deadline made from it
            // never later than we count on: a look may have waited there for seconds.
            workerClock = { value: shown, readAt: time.now() };
        }
    };
    const getDeadline = () => {
        if (!workerClock) {
            return undefined;
        }
        const now = time.now();
        lapsedAt = Math.max(lapsedAt, lapse.getExpiresAt(now, options.maxLeaseMs));
        return Math.floor(lapse.getMinClock(workerClock, now) + options.maxLeaseMs);
    };
    const setHeard = (next: boolean) => {
        if (heard !== next) {
            heard = next;
            options.log.info(next ? "workerHeard" : "workerSilent", { worker: id });
        }
        options.onReachability(next);
    };
    const endLife = (how: "otherLife" | "lapsed") => {
        if (!gone || how === "lapsed") {
            gone = how === "otherLife";
            options.onLost(how);
        }
    };
    /** What each answer says beyond its own order. */
    const takeNote = (answer: port.OrderAnswer | port.PollAnswer) => {
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
                endLife("otherLife");
                break;
            case "unwell":
            case "unreachable":
            case "unknown":
                break;
        }
    };
    const isUnacknowledged = () => recordedUpTo > acknowledgedUpTo;
    /**
     * An acknowledgement goes by number, and is carried out by whichever life it meets. It is safe while the next life
     * cannot have an end yet: no start has gone out since this one was last heard.
     */
    const mayAcknowledge = () => heard && startsUnderWay === 0 && provenAt > lastStartAt;
    const look = async (waitMs: number): Promise<boolean> => {
        const sentAt = time.now();
        lastLookAt = sentAt;
        const acknowledged = isUnacknowledged() && mayAcknowledge() ? recordedUpTo : 0;
        const timeoutMs = waitMs + LOOK_SLACK_MS;
        const answer = await options.port.poll(worker, {
            fencingToken: leadership.token,
            recordedUpTo: acknowledged,
            // A silent worker's lease is not prolonged: such a look may be carried out late, and as long as the next
            // one goes out the work there would never be certain to have lapsed.
            deadline: heard ? getDeadline() : undefined,
            waitMs,
        }, timeoutMs);
        if (signal.aborted) {
            return false;
        }
        if (answer.kind === "lists" && answer.startedAt !== 0 && answer.startedAt !== life.startedAt) {
            takeAnswerOfOtherLife(answer, sentAt);
            return false;
        }
        takeNote(answer);
        if (answer.kind !== "lists") {
            provenAt = -Infinity;
            if (answer.kind !== "otherLife") {
                const isBrokenOff = isNoAnswer(answer) && time.now() - sentAt < timeoutMs;
                options.log.info("lookFailed", { worker: id, answer: answer.kind, isBrokenOff });
                if (isBrokenOff) {
                    options.onDisconnected();
                }
            }
            return false;
        }
        provenAt = Math.max(provenAt, sentAt);
        if (!fenced) {
            // From here on the worker obeys no earlier leader, so only our own grants count.
            fenced = true;
            lapsedAt = lapse.getExpiresAt(time.now(), options.maxLeaseMs);
        }
        mustLook = false;
        acknowledgedUpTo = Math.max(acknowledgedUpTo, acknowledged);
        const fresh = answer.ended.filter(end => end.number > lastEnd);
        lastEnd = fresh.reduce((max, end) => Math.max(max, end.number), lastEnd);
        const upTo = lastEnd;
        setHeard(true);
        void options.onPollResult({
            sentAt,
            running: answer.running,
            ended: fresh,
            isEndListComplete: answer.ended.length < port.MAX_ENDS_LISTED,
        }).then(() => {
            recordedUpTo = Math.max(recordedUpTo, upTo);
            wake?.();
        });
        return true;
    };
    const takeAnswerOfOtherLife = (answer: Extract<port.PollAnswer, { kind: "lists"; }>, sentAt: number) => {
        const { startedAt: bornAt, running, ended } = answer;
        if (bornAt < life.startedAt) {
            options.log.warn("lookOutdated", { worker: id, bornAt });
            return;
        }
        if (!gone) {
            gone = true;
            options.onNextIncarnation(
                { name: life.name, startedAt: bornAt },
                { sentAt, running, ended, isEndListComplete: ended.length < port.MAX_ENDS_LISTED },
            );
        }
    };
    const takeFirstLook = async () => {
        const { PollPriority: Turn } = firstLooks;
        const leave = await options.pollLimiter.acquire(tried ? Turn.Retry : options.isBusy() ? Turn.Busy : Turn.Idle);
        tried = true;
        const answered = !signal.aborted && leadership.mayExtendTaskLeases() && await look(0);
        leave();
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
        while (!signal.aborted && !gone) {
            const busy = options.isBusy();
            const unacknowledged = isUnacknowledged();
            if (busy) {
                idleSince = undefined;
            }
            else {
                idleSince ??= time.now();
            }
            const lastLookDue = unacknowledged && idleSince !== undefined
                && time.now() - idleSince >= LAST_LOOK_DELAY_MS;
            if (!busy && !mustLook && !lastLookDue) {
                await pause(unacknowledged ? LAST_LOOK_DELAY_MS : IDLE_PAUSE_MS);
                continue;
            }
            if (lastEnd > recordedUpTo && time.now() - lastLookAt < UNRECORDED_LOOK_MS) {
                // A look would answer at once with the same ends until they are recorded.
                await pause(UNRECORDED_LOOK_MS - (time.now() - lastLookAt));
                continue;
            }
            if (!leadership.mayExtendTaskLeases()) {
                await pause(RETRY_PAUSE_MS);
                continue;
            }
            const isAcknowledging = !unacknowledged || mayAcknowledge();
            const waitMs = busy && !mustLook && workerClock && isAcknowledging ? options.getPollWaitMs() : 0;
            if (!await (fenced ? look(waitMs) : takeFirstLook())) {
                if (signal.aborted || gone) {
                    return;
                }
                setHeard(false);
                mustLook = true;
                if (options.isBusy() && time.now() > lapsedAt) {
                    endLife("lapsed");
                }
                await pause(RETRY_PAUSE_MS);
            }
        }
    };
    const runLookNow = async () => {
        if (lookNowWanted) {
            return;
        }
        lookNowWanted = true;
        await Promise.resolve();
        lookNowWanted = false;
        if (!signal.aborted && leadership.mayExtendTaskLeases()) {
            await look(0);
        }
    };
    const sendStart = async (request: port.StartOrder) => {
        startsUnderWay++;
        lastStartAt = time.now();
        const answer = await options.port.start(worker, request, ORDER_TIMEOUT_MS);
        startsUnderWay--;
        lastStartAt = time.now();
        return answer;
    };
    const order = async <T extends port.OrderAnswer>(send: () => Promise<T>): Promise<port.OrderAnswer> => {
        if (!leadership.mayIssueOrders()) {
            return { kind: "unreachable", message: "the lease is not certain" };
        }
        const answer = await send();
        if (!signal.aborted) {
            takeNote(answer);
        }
        return answer;
    };
    const hasContact = (longestSilenceMs: number) =>
        workerClock !== undefined && time.now() - workerClock.readAt <= longestSilenceMs;
    const makeContact = async (longestSilenceMs: number) => hasContact(longestSilenceMs) || look(0);
    void loop();

    return {
        hasAnsweredWithin: hasContact,
        ensureReachable: makeContact,
        start: async request => {
            if (workerClock && !await makeContact(LONGEST_CLOCK_AGE_MS)) {
                return { kind: "unreachable", message: "the worker's clock was read too long ago" };
            }
            const deadline = getDeadline();
            if (deadline === undefined) {
                return { kind: "unreachable", message: "the worker's clock is not known yet" };
            }
            wake?.();
            return order(() => sendStart({ ...request, fencingToken: leadership.token, deadline }));
        },
        stop: request =>
            order(() => options.port.stop(worker, { ...request, fencingToken: leadership.token }, ORDER_TIMEOUT_MS)),
        pace: request =>
            order(() => options.port.pace(worker, { ...request, fencingToken: leadership.token }, ORDER_TIMEOUT_MS)),
        pollNow: () => void runLookNow(),
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
 * While ends are not recorded, as when the store is away, a look prolongs the leases and brings nothing new: this
 * often is enough for the shortest lease of 6 s. Without the bound looks follow each other without a pause.
 */
const UNRECORDED_LOOK_MS = 1_000;
/** The loop of an idle worker is woken by its next order; this only bounds a missed call. */
const IDLE_PAUSE_MS = 5_000;
