/** The command `config check`. */
import type * as commander from "commander";
import * as fs from "node:fs";
import * as settings from "../settings/index";
import * as output from "./output";

/** Checks a kind of file that is declared outside this folder; returns `undefined` for files of other kinds. */
export type FileChecker = (
    file: string,
) => { readonly kind: string; readonly problems: readonly string[]; } | undefined;

/** Registers `config check`, which makes the same checks as at start-up but starts nothing. */
export function register(program: commander.Command, checkers: readonly FileChecker[]): void {
    const config = program.command("config").description("settings files");
    config
        .command("check")
        .description("check an instance's or a site's file, or what the users' platform starts instances with")
        .argument("<file>")
        .option("--json", "one JSON document")
        .action((file: string, options: output.PrintOptions) => {
            const kind = checkWith(checkers, file) ?? settings.checkFile(file);
            output.print({ file, kind, result: "valid" }, options);
        });
}

/** Returns the kind of a valid file, or `undefined` if no checker knows it. Throws a `SettingsError` for an invalid file. */
function checkWith(checkers: readonly FileChecker[], file: string): string | undefined {
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
