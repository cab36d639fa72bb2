/** A store whose calls are counted by their outcome. */
import type * as observe from "../observe/index";
import type * as rows from "./index";

export function createInstrumentedStore(store: rows.RowStore, meter: observe.Meter): rows.RowStore {
    const count = async <T extends { readonly kind: string; }>(call: string, answer: Promise<T>): Promise<T> => {
        const result = await answer;
        meter.increment("store_calls_total", { call, outcome: result.kind });
        return result;
    };
    return {
        transact: (tx, timeoutMs) => count("transact", store.transact(tx, timeoutMs)),
        read: (range, timeoutMs, mostMs) => count("read", store.read(range, timeoutMs, mostMs)),
        feed: (...call) => count("feed", store.feed(...call)),
    };
}
