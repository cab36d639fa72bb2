import type * as commander from "commander";
import * as fs from "node:fs";
import * as settings from "../settings/index";
import * as output from "./output";

/** Checks files of kinds that only the program's composition knows; `undefined` for a file of none of them. */
export type FileChecker = (
    file: string,
) => { readonly kind: string; readonly problems: readonly string[]; } | undefined;

/** `config check`: the same checks as at start, without starting anything. */
export function register(program: commander.Command, checkers: readonly FileChecker[]): void {
    const config = program.command("config").description("settings files");
    config
        .command("check")
        .description("check an instance's or a site's file, or what the users' platform starts instances with")
        .argument("<file>")
        .option("--json", "one JSON document")
        .action((file: string, options: output.PrintOptions) => {
            const kind = checkBy(checkers, file) ?? settings.checkFile(file);
            output.print({ file, kind, result: "valid" }, options);
        });
}

/** The kind of a sound file; `undefined` where no checker knows it. */
function checkBy(checkers: readonly FileChecker[], file: string): string | undefined {
    for (const check of checkers) {
        const found = fs.existsSync(file) ? check(file) : undefined;
        if (found && found.problems.length > 0) {
            throw new settings.SettingsError(found.problems.map(message => ({ file, key: "", message })));
        }
        if (found) {
            return found.kind;
        }
    }
    return undefined;
}
