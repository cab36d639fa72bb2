/** The command `serve`. */
import type * as commander from "commander";
import * as instanceModule from "../instance/index";
import * as settings from "../settings/index";

/** Registers `serve`, which runs one entry instance until SIGTERM or SIGINT. */
export function register(program: commander.Command): void {
    program
        .command("serve")
        .description("run one entry instance")
        .requiredOption("--config <file>", "the instance's settings")
        .action(async (options: { config: string; }) => {
            const cfg = settings.readInstanceFile(options.config);
            const { bootstrapFile } = cfg.site;
            const bootstrapSite = bootstrapFile === undefined ? undefined : settings.readSiteFile(bootstrapFile);
            const instance = instanceModule.createInstance({ settings: cfg, bootstrapSite });
            await instance.start();
            await waitForSignal();
            // A second signal exits at once; the other instances then take over the unfinished work.
            process.once("SIGTERM", () => process.exit(1));
            process.once("SIGINT", () => process.exit(1));
            await instance.stop();
            process.exit(0);
        });
}

function waitForSignal(): Promise<void> {
    return new Promise(resolve => {
        process.once("SIGTERM", resolve);
        process.once("SIGINT", resolve);
    });
}
