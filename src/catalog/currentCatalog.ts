/**
 * The catalog in force in this instance, with the lookups that each request needs.
 *
 * An older version never replaces a newer one: when the table is read again after a gap in the change feed, the read
 * may be stale, and a revoked key would work again.
 */
import type * as catalog from "./catalog";

/** The catalog in force, with lookups; all lookups return `undefined` before the first version. */
export interface CurrentCatalog {
    get(): catalog.Catalog | undefined;
    /** Puts the catalog in force if its version is newer; returns whether it did. */
    applyIfNewer(next: catalog.Catalog): boolean;
    /** Finds the queue of this host with the longest matching path prefix. `rest` is the path after the prefix. */
    findQueue(host: string, path: string): { readonly queue: catalog.Queue; readonly rest: string; } | undefined;
    getQueue(name: string): catalog.Queue | undefined;
    getAccountByKey(key: string): catalog.Account | undefined;
    getAccount(name: string): catalog.Account | undefined;
}

interface Lookups {
    readonly catalog: catalog.Catalog;
    readonly queuesByHost: ReadonlyMap<string, readonly catalog.Queue[]>;
    readonly queuesByName: ReadonlyMap<string, catalog.Queue>;
    readonly accountsByKey: ReadonlyMap<string, catalog.Account>;
    readonly accountsByName: ReadonlyMap<string, catalog.Account>;
}

/** Creates a holder without a catalog. */
export function createCurrentCatalog(): CurrentCatalog {
    let lookups: Lookups | undefined;
    return {
        get: () => lookups?.catalog,
        applyIfNewer: next => {
            if (lookups && next.version <= lookups.catalog.version) {
                return false;
            }
            lookups = createLookups(next);
            return true;
        },
        findQueue: (host, path) => {
            const queue = lookups?.queuesByHost.get(host)?.find(candidate => path.startsWith(candidate.pathPrefix));
            return queue && { queue, rest: path.slice(queue.pathPrefix.length) };
        },
        getQueue: name => lookups?.queuesByName.get(name),
        getAccountByKey: key => lookups?.accountsByKey.get(key),
        getAccount: name => lookups?.accountsByName.get(name),
    };
}

function createLookups(current: catalog.Catalog): Lookups {
    const queuesByHost = new Map<string, catalog.Queue[]>();
    for (const queue of current.queues) {
        const sameHost = queuesByHost.get(queue.host) ?? [];
        sameHost.push(queue);
        queuesByHost.set(queue.host, sameHost);
    }
    for (const sameHost of queuesByHost.values()) {
        sameHost.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    return {
        catalog: current,
        queuesByHost,
        queuesByName: new Map(current.queues.map(queue => [queue.name, queue])),
        accountsByKey: new Map(
            current.accounts.flatMap(account => account.keys.map(key => [key, account] as const)),
        ),
        accountsByName: new Map(current.accounts.map(account => [account.name, account])),
    };
}
