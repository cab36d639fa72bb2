import type * as observe from "../../observe/index";
import type * as rows from "../../rows/index";
import * as telemetry from "../../telemetry/index";
import * as evacuation from "../index";

const MAX_AGE_MS = 5_000;
const DELAY_MS = 600;

const createRow = (key: string, version: number, value = "{}"): rows.Row => ({
    table: "operators",
    part: "",
    key,
    value,
    version,
});
const createRemoval = (key: string, version: number): rows.RowChange => ({ ...createRow(key, version), removed: true });
const createChange = (key: string, version: number): rows.RowChange => ({ ...createRow(key, version), removed: false });

interface Case {
    readonly name: string;
    readonly act: (evacuations: evacuation.Evacuations) => void;
    readonly ageMs?: number;
    /** Whether a start in zone `a` is allowed. */
    readonly allowed: boolean;
    readonly evacuated: readonly evacuation.Evacuation[];
    readonly lines: readonly string[];
}

const cases: readonly Case[] = [
    { name: "no row", act: () => undefined, allowed: true, evacuated: [], lines: [] },
    {
        name: "no row, read too long ago",
        act: () => undefined,
        ageMs: MAX_AGE_MS - DELAY_MS + 1,
        allowed: false,
        evacuated: [],
        lines: [],
    },
    {
        name: "no row, read almost too long ago",
        act: () => undefined,
        ageMs: MAX_AGE_MS - DELAY_MS,
        allowed: true,
        evacuated: [],
        lines: [],
    },
    {
        name: "no row, never read",
        act: () => undefined,
        ageMs: Infinity,
        allowed: false,
        evacuated: [],
        lines: [],
    },
    {
        name: "a row in the snapshot",
        act: evacuations => evacuations.applySnapshot([createRow("z/a", 3), createRow("other", 4)]),
        allowed: false,
        evacuated: [{ zone: "a", version: 3 }],
        lines: ["zoneEvacuated"],
    },
    {
        name: "a row for another zone",
        act: evacuations => evacuations.applyChanges([createChange("z/b", 3)]),
        allowed: true,
        evacuated: [{ zone: "b", version: 3 }],
        lines: ["zoneEvacuated"],
    },
    {
        name: "a row that is missing in a later snapshot",
        act: evacuations => {
            evacuations.applyChanges([createChange("z/a", 3)]);
            evacuations.applySnapshot([]);
        },
        allowed: true,
        evacuated: [],
        lines: ["zoneEvacuated", "zoneRestored"],
    },
    {
        name: "a row that is removed and written again",
        act: evacuations =>
            evacuations.applyChanges([createChange("z/a", 3), createRemoval("z/a", 4), createChange("z/a", 5)]),
        allowed: false,
        evacuated: [{ zone: "a", version: 5 }],
        lines: ["zoneEvacuated", "zoneRestored", "zoneEvacuated"],
    },
    {
        name: "a row that is written twice",
        act: evacuations => evacuations.applyChanges([createChange("z/a", 3), createChange("z/a", 4)]),
        allowed: false,
        evacuated: [{ zone: "a", version: 4 }],
        lines: ["zoneEvacuated"],
    },
    {
        name: "a removal of a zone that is not evacuated",
        act: evacuations => evacuations.applyChanges([createRemoval("z/a", 4)]),
        allowed: true,
        evacuated: [],
        lines: [],
    },
    {
        name: "a row with an unknown value",
        act: evacuations => evacuations.applySnapshot([createRow("z/a", 3, "?")]),
        allowed: false,
        evacuated: [{ zone: "a", version: 3 }],
        lines: ["evacuationUnreadable", "zoneEvacuated"],
    },
];

// Guards against starts in an evacuated zone, whatever the row holds and however it was read.
describe("the evacuations known from", () => {
    test.each(cases)("$name", ({ act, ageMs = 0, allowed, evacuated, lines }) => {
        const events: string[] = [];
        const record = (event: string) => events.push(event);
        const log: observe.Log = { info: record, warn: record, error: record };
        const evacuations = evacuation.createEvacuations({
            log,
            meter: telemetry.createMetrics().meter,
            signal: new AbortController().signal,
            getZone: key => key.startsWith("z/") ? key.slice(2) : undefined,
            isValidValue: value => value === "{}",
            getAgeMs: () => ageMs,
            getMaxAgeMs: () => MAX_AGE_MS,
        });
        act(evacuations);
        expect(evacuations.mayStartIn("a", DELAY_MS)).toBe(allowed);
        expect(evacuations.list()).toEqual(evacuated);
        expect(events).toEqual(lines);
    });
});
