/**
 * Hands the lead to another instance without the store.
 *
 * What goes wrong without it: the store turns the leader away, or is cut off from it alone. The leader cannot renew its
 * lease, and the others wait until it has lapsed; work that is handed in meanwhile is accepted and does not start. One
 * notices urgent jobs that begin 1.7 s late. With it the lead changes as soon as the leader knows of its loss.
 *
 * The store is lost when it says so or is silent, and also when a renewal of the lease is late and a read on another
 * connection gets no answer: waiting for both to be certain takes most of the lease.
 *
 * A leader ends its term only for an instance that has just reached the store: while the store is away from all of
 * them, the leader is the one that prolongs what runs.
 */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import type * as rows from "../rows/index";
import * as work from "../work/index";
import type * as lease from "./lease";

/** A term that is given up. */
export interface HandoverOffer {
    /** Life of the instance that holds the lease. */
    readonly holder: string;
    readonly token: number;
}

/** An instance that could lead at once. */
export interface Candidacy {
    /** Processor time that it gets, in cores. */
    readonly power: number;
}

export interface HandoverPort {
    /** Addresses of other instances, as far as they are known. */
    getCandidates(): readonly string[];
    /** `undefined`: it gave no answer, or cannot lead. */
    queryCandidate(candidate: string, offer: HandoverOffer, timeoutMs: number): Promise<Candidacy | undefined>;
    /** Tells that the term has ended. */
    notifySuccessor(candidate: string, offer: HandoverOffer, timeoutMs: number): Promise<void>;
}

export interface HandoverOptions {
    readonly port: HandoverPort;
    readonly lease: Pick<lease.Lease, "getOffer" | "isRenewalLate" | "cede" | "takeFrom" | "getObservation">;
    readonly store: rows.RowStore;
    readonly clock: clock.Clock;
    readonly log: observe.Log;
    readonly power: number;
    readonly signal: AbortSignal;
    isStoreUnreachable(): boolean;
}

export interface Handover {
    /**
     * Called when the store may be lost: makes sure of that and looks for a successor, if this instance leads, until
     * the store is back.
     */
    offerLeadership(): Promise<void>;
    /** Whether this instance could lead in place of the one that asks. */
    answer(handoverOffer: HandoverOffer): Promise<Candidacy | undefined>;
    /** The other's term has ended. */
    take(handoverOffer: HandoverOffer): void;
}

/** Answers come within some 10 ms: a read of the store and the way. */
const ASK_TIMEOUT_MS = 250;
/**
 * Of the read with which leader and candidates make sure of the store. At a store that is slow for all of them no
 * candidate gets its answer in time, and the lead stays where it is.
 */
const READ_TIMEOUT_MS = 150;
const ASK_EVERY_MS = 200;

export function createHandover(options: HandoverOptions): Handover {
    const { port, lease: held, clock: time, log } = options;

    const findSuccessor = async (offer: HandoverOffer): Promise<string | undefined> => {
        const answers = await Promise.all(
            port.getCandidates().map(async candidate => ({
                candidate,
                candidacy: await port.queryCandidate(candidate, offer, ASK_TIMEOUT_MS),
            })),
        );
        const strongestFirst = answers
            .filter(answer => answer.candidacy !== undefined)
            .sort((a, b) => b.candidacy!.power - a.candidacy!.power);
        return strongestFirst[0]?.candidate;
    };
    const canRead = async () => {
        const lead = { table: work.Table.LeaderLease, part: work.LEADER_PART, limit: 1 };
        return (await options.store.read(lead, READ_TIMEOUT_MS)).kind === "read";
    };
    const isDoubtful = () => options.isStoreUnreachable() || held.isRenewalLate();
    let offering = false;
    const offerUntilBack = async () => {
        while (isDoubtful() && !options.signal.aborted) {
            const offer = held.getOffer();
            if (!offer || (!options.isStoreUnreachable() && await canRead())) {
                return;
            }
            // A read of our own at the same time: when the store comes back to all, some instance notices first.
            const [successor, reads] = await Promise.all([findSuccessor(offer), canRead()]);
            if (!reads && successor !== undefined && isDoubtful() && held.getOffer()?.token === offer.token) {
                log.info("leadHandedOver", { token: offer.token, to: successor });
                held.cede();
                await port.notifySuccessor(successor, offer, ASK_TIMEOUT_MS);
                return;
            }
            await time.sleep(ASK_EVERY_MS, options.signal);
        }
    };
    return {
        offerLeadership: async () => {
            if (!offering) {
                offering = true;
                await offerUntilBack();
                offering = false;
            }
        },
        answer: async offer => {
            const isCurrent = () => held.getObservation()?.record.holder === offer.holder;
            if (!isCurrent() || options.isStoreUnreachable()) {
                return undefined;
            }
            return await canRead() && isCurrent() ? { power: options.power } : undefined;
        },
        take: offer => held.takeFrom(offer.token),
    };
}
