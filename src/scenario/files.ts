/** Reads scenario files. */
import * as fs from "node:fs";
import * as toml from "smol-toml";
import * as result from "../result/index";
import * as settings from "../settings/index";
import * as schema from "./schema";

/** A parsed scenario file. */
export interface ScenarioFile {
    readonly file: string;
    readonly scenario: schema.Scenario;
    /** Line number (from 1) of each `[[expect]]` in the file. */
    readonly expectLines: readonly number[];
}

/** Throws a `SettingsError` that names the file, the key and the expected value. */
export function readScenarioFile(file: string): ScenarioFile {
    let parsed: unknown;
    let text: string;
    try {
        text = fs.readFileSync(file, "utf8");
        parsed = toml.parse(text);
    }
    catch (err) {
        throw new settings.SettingsError([{ file, key: "", message: result.getErrorMessage(err).split("\n")[0]! }]);
    }
    const checked = schema.scenarioSchema.safeParse(parsed);
    if (!checked.success) {
        throw new settings.SettingsError(
            checked.error.issues.map(issue => ({ file, key: issue.path.join("."), message: issue.message })),
        );
    }
    const expectLines = text.split("\n").flatMap((line, index) => line.trim() === "[[expect]]" ? [index + 1] : []);
    return { file, scenario: checked.data, expectLines };
}
