import type * as commander from "commander";
import * as settings from "../settings/index";
import * as output from "./output";

/** `config check`: the same checks as at start, without starting anything. */
export function register(program: commander.Command): void {
    const config = program.command("config").description("settings files");
    config
        .command("check")
        .description("check an instance's or a site's file")
        .argument("<file>")
        .option("--json", "one JSON document")
        .action((file: string, options: output.PrintOptions) => {
            const kind = settings.checkFile(file);
            output.print({ file, kind, result: "valid" }, options);
        });
}
