/**
 * The catalog in force at this instance, with the lookups that each request needs.
 *
 * An older version is never put in force: a feed that is read anew after a gap may begin with a stale read, and a
 * key that was taken away would work again.
 */
import type * as catalog from "./catalog";

export interface CurrentCatalog {
    get(): catalog.Catalog | undefined;
    /** Returns whether the version was put in force. */
    applyIfNewer(next: catalog.Catalog): boolean;
    /** The queue with the longest prefix of the path at this host, and what follows the prefix. */
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
