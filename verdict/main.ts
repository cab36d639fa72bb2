/**
 * `node dist/verdict/main.js --jest REPORT... --check "COMMAND=EXIT CODE"`: prints the known failures and the reasons why
 * the run fails, and exits with 1 if there are any such reasons.
 */
import * as commander from "commander";
import * as fs from "node:fs";
import * as verdict from "./index";

interface Options {
    readonly jest: readonly string[];
    readonly check: readonly string[];
    readonly list: string;
}

function main(): void {
    const options = new commander.Command("verdict")
        .requiredOption("--jest <file...>", "reports written by jest --json")
        .option("--check <result...>", "another check, as COMMAND=EXIT_CODE", [])
        .option("--list <file>", "list of known failures", "KNOWN-RED.txt")
        .parse()
        .opts<Options>();
    const parsed = verdict.parseKnownFailures(fs.existsSync(options.list) ? fs.readFileSync(options.list, "utf8") : "");
    if (parsed.kind === "invalid") {
        parsed.problems.forEach(problem => print(`${options.list}: ${problem}`));
        process.exitCode = 1;
        return;
    }
    const results = [
        ...options.jest.flatMap(file => verdict.readJestReport(fs.readFileSync(file, "utf8"), process.cwd())),
        ...options.check.map(parseCheck),
    ];
    const { problems, known, passed } = verdict.evaluateResults(results, parsed.failures);
    known.forEach(entry =>
        print(`KNOWN RED (issue ${entry.issue}): ${entry.test}\n    ${entry.command}\n    ${entry.seen}`)
    );
    problems.forEach(print);
    print(`${passed} passed, ${problems.length} failed, ${known.length} known red`);
    process.exitCode = problems.length > 0 ? 1 : 0;
}

function parseCheck(text: string): verdict.CheckResult {
    const separator = text.lastIndexOf("=");
    return { name: text.slice(0, separator), outcome: text.slice(separator + 1) === "0" ? "passed" : "failed" };
}

function print(line: string): void {
    process.stdout.write(`${line}\n`);
}

main();
