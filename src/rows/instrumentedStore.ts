/** Wraps a store and counts its calls by outcome. */
import type * as observe from "../observe/index";
import type * as rows from "./rowStore";

/** Returns a store that counts each call in `store_calls_total`. */
export function createInstrumentedStore(store: rows.RowStore, meter: observe.Meter): rows.RowStore {
    const count = async <T extends { readonly kind: string; }>(call: string, answer: Promise<T>): Promise<T> => {
        const result = await answer;
        meter.increment("store_calls_total", { call, outcome: result.kind });
        return result;
    };
    return {
        transact: (tx, timeoutMs) => count("transact", store.transact(tx, timeoutMs)),
        read: (range, timeoutMs, totalTimeoutMs) => count("read", store.read(range, timeoutMs, totalTimeoutMs)),
        feed: (...call) => count("feed", store.feed(...call)),
    };
}
