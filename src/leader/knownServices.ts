/**
 * Filters out workers of services that are neither configured nor needed by an accepted job.
 *
 * Other systems write to the directory too. An entry of an unknown service would cost connections and polls, though no
 * queue can use the worker.
 */
import type * as catalogs from "../catalog/index";
import type * as observe from "../observe/index";
import type * as entries from "./entries";

/** What the filter needs from the term. */
export interface KnownServicesOptions {
    readonly catalog: Pick<catalogs.CurrentCatalog, "get">;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    /**
     * Whether the worker may have or get tasks: its service may have been removed from the configuration since their
     * start, or it has restarted in another service while a start order is under way to it.
     */
    isInUse(workerId: string): boolean;
    /** Whether accepted jobs need the service, of which the configuration may have dropped the queue and the service. */
    isServiceNeeded(service: string): boolean;
}

/** Creates a filter that returns the listed workers that a queue may use; all of them without a configuration. */
export function createServiceFilter(
    { catalog, log, meter, isInUse, isServiceNeeded }: KnownServicesOptions,
): <T extends entries.WorkerInfo>(listed: readonly T[]) => readonly T[] {
    let reported: ReadonlySet<string> = new Set();
    return listed => {
        const services = catalog.get()?.services.map(service => service.name);
        if (!services) {
            return listed;
        }
        const isNeeded = new Map<string, boolean>();
        const checkNeeded = (service: string) => {
            const known = isNeeded.get(service) ?? isServiceNeeded(service);
            isNeeded.set(service, known);
            return known;
        };
        const isKnown = ({ service, id }: entries.WorkerInfo) =>
            services.includes(service) || checkNeeded(service) || isInUse(id);
        const unknown = listed.filter(info => !isKnown(info));
        for (const info of unknown) {
            if (!reported.has(info.id)) {
                log.warn("workerOfUnknownService", { worker: info.id, service: info.service });
                meter.increment("entries_unusable_total", { kind: "service" });
            }
        }
        reported = new Set(unknown.map(info => info.id));
        return unknown.length === 0 ? listed : listed.filter(isKnown);
    };
}
