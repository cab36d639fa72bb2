/** Durable rows: the port to the store, and what each of its readers needs. */
export { followTable, type TableFollower, type TableFollowerOptions } from "./followTable";
export { createInstrumentedStore } from "./instrumentedStore";
export { readAll, readParts } from "./readAll";
export {
    type FeedResult,
    MAX_ANSWER_MS,
    MAX_PAGE_ROWS,
    type ReadResult,
    type Row,
    type RowChange,
    type RowCondition,
    type RowKey,
    type RowPut,
    type RowRange,
    type RowStore,
    type RowTransaction,
    type TransactResult,
} from "./rowStore";
export { createStoreHealth, type StoreHealth, type StoreHealthOptions } from "./storeHealth";
