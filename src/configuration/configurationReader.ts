/**
 * Keeps an instance's copy of the configuration up to date: polls the head row and fetches newer revisions that peers
 * report. The revision in force never decreases.
 */
import type * as clock from "../clock/index";
import type * as observe from "../observe/index";
import * as result from "../result/index";
import * as configurationStore from "./configurationStore";
import * as revision from "./revision";
import * as schema from "./siteSchema";

/** A source of heads and documents other than the table service, for instance a peer that has a newer revision. */
export interface ConfigurationSource {
    readHead(): Promise<revision.ConfigurationHead | undefined>;
    readDocument(digest: string): Promise<string | undefined>;
}

export interface ConfigurationReader {
    /** The revision in force; `undefined` until the first one has been read. */
    getCurrent(): revision.Configuration | undefined;
    /** Number of the newest known revision, whether or not it is in force yet; 0 when none is known. */
    getNewestRevision(): number;
    /** Head of the newest known revision; `undefined` when none is known. */
    getNewestHead(): revision.ConfigurationHead | undefined;
    /** A document that this instance holds, for peers that cannot reach the store; `undefined` when it is not held. */
    getDocument(digest: string): string | undefined;
    /** Milliseconds since the head was last read from the store; Infinity when it never was. */
    getStalenessMs(): number;
    /** If the peer's revision is newer than the known one, reads it now, from the store or else from the peer. */
    fetchIfNewer(newest: number, peer: ConfigurationSource): void;
    /** The listener is called each time another revision comes into force. Returns a function that removes it. */
    registerListener(listener: (current: revision.Configuration) => void): () => void;
    /** Reads the head once, now. Resolves to false when the store did not answer. */
    poll(): Promise<boolean>;
    /**
     * Reads the head now and resolves to the newest known revision, whether or not it is in force yet; `undefined` when
     * the store did not answer.
     */
    readNewest(): Promise<revision.Configuration | undefined>;
    /** Polls the head every `pollMs` until the signal is aborted. */
    run(signal: AbortSignal): Promise<void>;
}

interface ReaderOptions {
    readonly store: configurationStore.ConfigurationStore;
    readonly clock: clock.Clock;
    readonly counters: observe.Counters;
    readonly log: observe.Log;
    /** Pause between two polls of the head row. */
    readonly pollMs: number;
}

/** Creates a reader that knows no revision yet. */
export function createConfigurationReader(options: ReaderOptions): ConfigurationReader {
    const { store, clock: time, log, counters } = options;
    const documents = new Map<string, string>();
    const listeners = new Set<(current: revision.Configuration) => void>();
    let current: revision.Configuration | undefined;
    /** Known revisions that are not in force yet, oldest first. */
    const pending: revision.Configuration[] = [];
    let confirmedAt = -Infinity;
    let isFetching = false;

    const getNewest = () => pending.at(-1) ?? current;
    const getNewestRevision = () => getNewest()?.head.revision ?? 0;

    const activateDue = () => {
        const now = time.wallTime();
        let due: revision.Configuration | undefined;
        while (pending.length > 0 && (pending[0]!.head.effectiveAtMs <= now || !current)) {
            due = pending.shift();
        }
        if (!due) {
            return;
        }
        result.invariant(
            due.head.revision > (current?.head.revision ?? 0),
            result.InvariantCode.RevisionDecreased,
            `revision ${due.head.revision} after ${current?.head.revision}`,
        );
        current = due;
        dropUnusedDocuments();
        log.info("configuration in force", { revision: due.head.revision, preset: due.head.preset });
        for (const listener of [...listeners]) {
            listener(due);
        }
    };

    const dropUnusedDocuments = () => {
        const used = new Set(
            [current, ...pending].flatMap(item => item ? [item.head.contractsDigest, item.head.topologyDigest] : []),
        );
        for (const digest of documents.keys()) {
            if (!used.has(digest)) {
                documents.delete(digest);
            }
        }
    };

    const loadDocument = async (digest: string, sources: ReadonlyArray<Pick<ConfigurationSource, "readDocument">>) => {
        for (const source of sources) {
            const text = documents.get(digest) ?? await source.readDocument(digest);
            // A document that does not match its digest would put contracts in force that nobody has checked.
            if (text !== undefined && configurationStore.getDigest(text) === digest) {
                return text;
            }
        }
        return undefined;
    };

    const loadRevision = async (
        head: revision.ConfigurationHead,
        sources: ReadonlyArray<Pick<ConfigurationSource, "readDocument">>,
    ): Promise<void> => {
        if (head.revision <= getNewestRevision()) {
            return;
        }
        const contracts = await loadDocument(head.contractsDigest, sources);
        const topology = await loadDocument(head.topologyDigest, sources);
        if (contracts === undefined || topology === undefined || head.revision <= getNewestRevision()) {
            counters.increment(
                "configuration.documentMissing",
                contracts === undefined || topology === undefined ? 1 : 0,
            );
            return;
        }
        documents.set(head.contractsDigest, contracts);
        documents.set(head.topologyDigest, topology);
        pending.push({
            head,
            contracts: schema.contractsSchema.parse(JSON.parse(contracts)),
            topology: schema.topologySchema.parse(JSON.parse(topology)),
        });
        counters.increment("configuration.revisionsRead");
        activateDue();
        time.setTimer(Math.max(0, head.effectiveAtMs - time.wallTime()), activateDue);
    };

    const poll = async () => {
        const head = await store.readHead();
        if (head.kind !== "read") {
            counters.increment("configuration.pollFailed");
            return false;
        }
        confirmedAt = time.now();
        if (head.value) {
            await loadRevision(head.value, [store]);
        }
        return true;
    };

    const fetchFromPeer = async (peer: ConfigurationSource) => {
        await poll();
        const head = await peer.readHead();
        if (head) {
            await loadRevision(head, [store, peer]);
        }
    };

    return {
        getCurrent: () => {
            activateDue();
            return current;
        },
        getNewestRevision,
        getNewestHead: () => getNewest()?.head,
        getDocument: digest => documents.get(digest),
        getStalenessMs: () => time.now() - confirmedAt,
        fetchIfNewer: (newest, peer) => {
            if (isFetching || newest <= getNewestRevision()) {
                return;
            }
            isFetching = true;
            fetchFromPeer(peer)
                .catch(err => log.warn("configuration not read from peer", { cause: result.getErrorMessage(err) }))
                .finally(() => {
                    isFetching = false;
                });
        },
        registerListener: listener => {
            listeners.add(listener);
            return () => {
                listeners.delete(listener);
            };
        },
        poll,
        readNewest: async () => await poll() ? getNewest() : undefined,
        run: async signal => {
            while (!signal.aborted) {
                try {
                    await poll();
                }
                catch (err) {
                    log.warn("configuration not read", { cause: result.getErrorMessage(err) });
                }
                await time.sleep(options.pollMs, signal);
            }
        },
    };
}
