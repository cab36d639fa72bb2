import * as verdict from "../index";

const ENTRY = "test: a.test.ts › one\ncommand: npx jest a -t one\nseen: it waits for ever\nissue: 7";
const FAILURE: verdict.KnownFailure = {
    test: "a.test.ts › one",
    command: "npx jest a -t one",
    isRunByHand: false,
    seen: "it waits for ever",
    issue: "7",
};
const BY_HAND: verdict.KnownFailure = { ...FAILURE, isRunByHand: true };

describe("the list of known failures", () => {
    const cases: ReadonlyArray<readonly [name: string, text: string, expected: verdict.ParsedList]> = [
        ["is empty", "", { kind: "list", failures: [] }],
        ["has an entry and comments", `# why\n\n${ENTRY}\n\n\n# end\n`, { kind: "list", failures: [FAILURE] }],
        ["has an entry of a check that is run by hand", ENTRY.replace("test: ", "test: by hand: "), {
            kind: "list",
            failures: [BY_HAND],
        }],
        ["names no issue", ENTRY.replace("issue: 7", "issue: "), {
            kind: "invalid",
            problems: ["an entry does not consist of the four lines test, command, seen, issue: test: a.test.ts › one"],
        }],
        ["has no command", ENTRY.replace(/command.*\n/, ""), {
            kind: "invalid",
            problems: ["an entry does not consist of the four lines test, command, seen, issue: test: a.test.ts › one"],
        }],
        ["has an entry twice", `${ENTRY}\n\n${ENTRY}`, {
            kind: "invalid",
            problems: ["listed twice: a.test.ts › one"],
        }],
    ];
    test.each(cases)("%s", (_name, text, expected) => {
        expect(verdict.parseKnownFailures(text)).toEqual(expected);
    });
});

describe("the evaluation of results", () => {
    interface Case {
        readonly name: string;
        readonly outcomes: readonly verdict.CheckResult[];
        readonly listed: readonly verdict.KnownFailure[];
        readonly problems: readonly string[];
        readonly known: number;
    }
    const one = (outcome: verdict.CheckResult["outcome"]) => ({ name: FAILURE.test, outcome });
    const cases: readonly Case[] = [
        { name: "all pass", outcomes: [one("passed")], listed: [], problems: [], known: 0 },
        { name: "one fails", outcomes: [one("failed")], listed: [], problems: [`failed: ${FAILURE.test}`], known: 0 },
        {
            name: "one is skipped",
            outcomes: [one("skipped")],
            listed: [],
            problems: [`skipped: ${FAILURE.test}`],
            known: 0,
        },
        { name: "a listed one fails", outcomes: [one("failed")], listed: [FAILURE], problems: [], known: 1 },
        {
            name: "a listed one passes",
            outcomes: [one("passed")],
            listed: [FAILURE],
            problems: [`listed as a known failure, but passed: ${FAILURE.test}`],
            known: 0,
        },
        {
            name: "a listed one is skipped",
            outcomes: [one("skipped")],
            listed: [FAILURE],
            problems: [`listed as a known failure, but skipped: ${FAILURE.test}`],
            known: 0,
        },
        {
            name: "a listed one is not run",
            outcomes: [],
            listed: [FAILURE],
            problems: [`listed as a known failure, but not run: ${FAILURE.test}`],
            known: 0,
        },
        {
            name: "a listed one that is run by hand is not run",
            outcomes: [],
            listed: [BY_HAND],
            problems: [],
            known: 1,
        },
        {
            name: "a listed one that is run by hand passes",
            outcomes: [one("passed")],
            listed: [BY_HAND],
            problems: [`listed as a known failure, but passed: ${FAILURE.test}`],
            known: 0,
        },
        {
            name: "two tests of the listed name, of which one passes",
            outcomes: [one("failed"), one("passed")],
            listed: [FAILURE],
            problems: [`listed as a known failure, but failed, passed: ${FAILURE.test}`],
            known: 0,
        },
        {
            name: "another one fails beside it",
            outcomes: [one("failed"), { name: "b.test.ts › two", outcome: "failed" }],
            listed: [FAILURE],
            problems: ["failed: b.test.ts › two"],
            known: 1,
        },
    ];
    test.each(cases)("$name", ({ outcomes, listed, problems, known }) => {
        const evaluation = verdict.evaluateResults(outcomes, listed);
        expect(evaluation.problems).toEqual(problems);
        expect(evaluation.known).toHaveLength(known);
    });
});

describe("the parser of Jest reports", () => {
    interface FileReport {
        readonly status: string;
        readonly tests: readonly string[];
    }
    const cases: ReadonlyArray<readonly [string, boolean, readonly FileReport[], readonly verdict.CheckResult[]]> = [
        ["tests by file and name", false, [{ status: "failed", tests: ["passed", "failed", "pending"] }], [
            { name: "src/0.test.ts › t0", outcome: "passed" },
            { name: "src/0.test.ts › t1", outcome: "failed" },
            { name: "src/0.test.ts › t2", outcome: "skipped" },
        ]],
        // A test file that cannot be loaded has no tests in the report; the run must not pass because none of them
        // failed.
        ["a file that cannot be run", false, [{ status: "failed", tests: [] }], [
            { name: "src/0.test.ts", outcome: "failed" },
        ]],
        ["a failure of the run itself", false, [{ status: "passed", tests: ["passed"] }], [
            { name: "src/0.test.ts › t0", outcome: "passed" },
            { name: "jest", outcome: "failed" },
        ]],
        ["success", true, [{ status: "passed", tests: ["passed"] }], [
            { name: "src/0.test.ts › t0", outcome: "passed" },
        ]],
    ];
    test.each(cases)("%s", (_name, success, files, expected) => {
        const text = JSON.stringify({
            success,
            testResults: files.map((file, number) => ({
                name: `/root/src/${number}.test.ts`,
                status: file.status,
                message: "",
                assertionResults: file.tests.map((status, test) => ({ fullName: `t${test}`, status })),
            })),
        });
        expect(verdict.readJestReport(text, "/root")).toEqual(expected);
    });
});
