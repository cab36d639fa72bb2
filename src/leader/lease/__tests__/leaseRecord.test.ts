import type * as admission from "../../../admission/index";
import * as leaseRecord from "../leaseRecord";

const LOAD: admission.EncodedSummary = { at: 5, queues: { q: [1, 2, 3, 4] } };
const RECORD: leaseRecord.LeaseRecord = {
    holder: "a-1",
    instance: "a",
    token: 7,
    watchAddress: "",
    peerAddress: "h:1",
    power: 1,
    leaseMs: 1_600,
    waiting: { q: 3 },
};

describe("the row of the lease", () => {
    test("without a load is the same as before there were loads", () => {
        expect(leaseRecord.encodeRecord({ ...RECORD, load: undefined }).value).toBe(JSON.stringify(RECORD));
    });

    test("with a load is read by an instance of an earlier version as before", () => {
        // Such an instance parses the row and ignores fields that it does not know.
        const { load, ...known } = JSON.parse(leaseRecord.encodeRecord({ ...RECORD, load: LOAD }).value) as
            & leaseRecord.LeaseRecord
            & { load: unknown; };
        expect(known).toEqual(RECORD);
        expect(load).toEqual(LOAD);
    });

    test("of a leader of an earlier version has no load", () => {
        expect(leaseRecord.decodeRecord(JSON.stringify(RECORD)).load).toBeUndefined();
    });
});
