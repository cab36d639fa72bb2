/**
 * Hands leadership over to another instance when the leader loses the store.
 *
 * A leader that cannot reach the store, or is refused by it, cannot renew its lease. Without a handover the other
 * instances wait until the lease expires; work submitted meanwhile is accepted but does not start, and urgent jobs
 * begin 1.7 s late.
 *
 * The store counts as lost when it is known to be unreachable, and also when a renewal of the lease is overdue and a
 * read on another connection gets no answer: waiting until the loss is certain takes most of the lease.
 *
 * A leader ends its term only for an instance that has just reached the store: while no instance reaches it, the leader
 * is the one that extends the leases of running tasks.
 */
import type * as clock from "../../clock/index";
import type * as observe from "../../observe/index";
import type * as rows from "../../rows/index";
import * as work from "../../work/index";
import type * as lease from "./lease";

/** The term that is handed over. */
export interface HandoverOffer {
    /** Incarnation of the instance that holds the lease. */
    readonly holder: string;
    readonly token: number;
}

/** An instance that could lead immediately. */
export interface Candidacy {
    /** Processor time available to the instance, in cores. */
    readonly power: number;
}

/** Port to the other instances for a handover. No call rejects. */
export interface HandoverPort {
    /** Known addresses of other instances. */
    getCandidates(): readonly string[];
    /** Asks whether the instance could lead; `undefined` if it does not answer or cannot lead. */
    queryCandidate(candidate: string, offer: HandoverOffer, timeoutMs: number): Promise<Candidacy | undefined>;
    /** Notifies the instance that the term has ended. */
    notifySuccessor(candidate: string, offer: HandoverOffer, timeoutMs: number): Promise<void>;
}

export interface HandoverOptions {
    readonly port: HandoverPort;
    readonly lease: Pick<
        lease.Lease,
        "getHandoverOffer" | "isRenewalOverdue" | "endTermForHandover" | "takeOverFrom" | "getObservation"
    >;
    readonly store: rows.RowStore;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly power: number;
    readonly signal: AbortSignal;
    isStoreUnreachable(): boolean;
}

/** The handover of leadership, from the sides of the leader and of a candidate. */
export interface Handover {
    /**
     * Called when the store may be lost. If this instance leads, verifies the loss and looks for a successor until the
     * store is reachable again.
     */
    offerLeadership(): Promise<void>;
    /** Whether this instance could lead in place of the offering one; `undefined` if not. */
    answerOffer(handoverOffer: HandoverOffer): Promise<Candidacy | undefined>;
    /** Takes the lease over from the offering instance, whose term has ended. */
    acceptHandover(handoverOffer: HandoverOffer): void;
}

/** An answer usually takes 10 ms: a read of the store and the round trip. */
const QUERY_TIMEOUT_MS = 250;
/**
 * Timeout of the read with which the leader and the candidates probe the store. At a store that is slow for all of them
 * no candidate gets an answer in time, and the leader does not change.
 */
const READ_TIMEOUT_MS = 150;
const QUERY_INTERVAL_MS = 200;

export function createHandover(options: HandoverOptions): Handover {
    const { port, lease: held, clock: time, log } = options;

    const findSuccessor = async (offer: HandoverOffer): Promise<string | undefined> => {
        const answers = await Promise.all(
            port.getCandidates().map(async candidate => ({
                candidate,
                candidacy: await port.queryCandidate(candidate, offer, QUERY_TIMEOUT_MS),
            })),
        );
        const strongestFirst = answers
            .filter(answer => answer.candidacy !== undefined)
            .sort((a, b) => b.candidacy!.power - a.candidacy!.power);
        return strongestFirst[0]?.candidate;
    };
    const canReadStore = async () => {
        const lead = { table: work.Table.LeaderLease, part: work.LEADER_PART, limit: 1 };
        return (await options.store.read(lead, READ_TIMEOUT_MS)).kind === "read";
    };
    const isStoreSuspect = () => options.isStoreUnreachable() || held.isRenewalOverdue();
    let offering = false;
    const offerUntilRecovered = async () => {
        while (isStoreSuspect() && !options.signal.aborted) {
            const offer = held.getHandoverOffer();
            if (!offer || (!options.isStoreUnreachable() && await canReadStore())) {
                return;
            }
            // Probes the store at the same time: when it becomes reachable for all instances, another may notice first.
            const [successor, reads] = await Promise.all([findSuccessor(offer), canReadStore()]);
            if (
                !reads && successor !== undefined && isStoreSuspect() && held.getHandoverOffer()?.token === offer.token
            ) {
                log.info("leadHandedOver", { token: offer.token, to: successor });
                held.endTermForHandover();
                await port.notifySuccessor(successor, offer, QUERY_TIMEOUT_MS);
                return;
            }
            await time.sleep(QUERY_INTERVAL_MS, options.signal);
        }
    };
    return {
        offerLeadership: async () => {
            if (!offering) {
                offering = true;
                await offerUntilRecovered();
                offering = false;
            }
        },
        answerOffer: async offer => {
            const isCurrent = () => held.getObservation()?.record.holder === offer.holder;
            if (!isCurrent() || options.isStoreUnreachable()) {
                return undefined;
            }
            return await canReadStore() && isCurrent() ? { power: options.power } : undefined;
        },
        acceptHandover: offer => held.takeOverFrom(offer.token),
    };
}
