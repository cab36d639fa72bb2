/**
 * Leaves out workers of services that nobody has configured.
 *
 * What goes wrong without it: others write to the list of workers too, and an entry of a service that is not known costs
 * connections and looks, though no queue can ever use it. One notices looks at workers that never get a task.
 */
import type * as catalogs from "../catalog/index";
import type * as observe from "../observe/index";
import type * as entries from "./entries";

export interface KnownServicesOptions {
    readonly catalog: Pick<catalogs.CurrentCatalog, "get">;
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    /** Whether something may run there: its service may have been dropped from the configuration since. */
    isInUse(workerId: string): boolean;
}

/** Returns those of the listed workers that a queue may use. Before there is a configuration these are all. */
export function createServiceFilter(
    { catalog, log, meter, isInUse }: KnownServicesOptions,
): <T extends entries.WorkerInfo>(listed: readonly T[]) => readonly T[] {
    let told: ReadonlySet<string> = new Set();
    return listed => {
        const services = catalog.get()?.services.map(service => service.name);
        if (!services) {
            return listed;
        }
        const isKnown = (info: entries.WorkerInfo) => services.includes(info.service) || isInUse(info.id);
        const unknown = listed.filter(info => !isKnown(info));
        for (const info of unknown) {
            if (!told.has(info.id)) {
                log.warn("workerOfUnknownService", { worker: info.id, service: info.service });
                meter.increment("entries_unusable_total", { kind: "service" });
            }
        }
        told = new Set(unknown.map(info => info.id));
        return unknown.length === 0 ? listed : listed.filter(isKnown);
    };
}
