/** The commands `preset`, `account`, `zone`, `worker` and `status`: calls of the operators' HTTP interface. */
import * as commander from "commander";
import * as crypto from "node:crypto";
import * as fs from "node:fs";
import * as toml from "smol-toml";
import type * as configuration from "../configuration/index";
import type * as instanceModule from "../instance/index";
import * as result from "../result/index";
import * as output from "./output";
import * as siteClient from "./siteClient";

interface OperatorOptions extends output.PrintOptions {
    /** Comma-separated origins of the instances' operator interfaces. */
    readonly operators: string;
    readonly key?: string;
}

interface ChangeOptions extends OperatorOptions {
    readonly operationId?: string;
    readonly expectedRevision?: number;
}

interface ConfigurationBody {
    readonly head: configuration.ConfigurationHead;
    readonly contracts: configuration.Contracts;
}

const DEFAULT_ORIGINS = "http://127.0.0.1:7201";
const KEY_ENV_VARIABLE = "PLANTAINCHUTE_OPERATOR_KEY";

/** Registers `preset list|show|set|use`, `account list|set`, `zone list|evacuate|restore`, `worker list` and `status`. */
export function register(program: commander.Command): void {
    registerPresets(program.command("preset").description("presets"));
    registerAccounts(program.command("account").description("client accounts"));
    registerZones(program.command("zone").description("availability zones"));
    const worker = program.command("worker").description("workers");
    addOperatorOptions(worker.command("list"))
        .description("workers of the racks that the given instances own")
        .action(async (options: OperatorOptions) => {
            const lists = await callAll(options, "/v1/workers");
            output.print(lists.flat() as Array<Record<string, unknown>>, options);
        });
    addOperatorOptions(program.command("status"))
        .description("state, queues, counters and completion times of the given instances")
        .action(async (options: OperatorOptions) => {
            const statuses = await callAll(options, "/v1/status") as instanceModule.InstanceStatus[];
            printStatus(statuses, options);
        });
}

function registerPresets(preset: commander.Command): void {
    addOperatorOptions(preset.command("list")).description("all presets").action(async (options: OperatorOptions) => {
        const { contracts, head } = await readConfiguration(options);
        const rows = contracts.presets.map(item => ({
            name: item.name,
            kind: item.kind,
            inForce: item.name === head.preset,
            guarantees: item.guarantees.length,
            spareWorkersPerZone: item.spareWorkersPerZone,
        }));
        output.print(rows, options);
    });
    addOperatorOptions(preset.command("show")).description("one preset").argument("<name>").action(
        async (name: string, options: OperatorOptions) => {
            const { contracts } = await readConfiguration(options);
            const found = contracts.presets.find(item => item.name === name);
            if (!found) {
                throw new output.CommandError(result.ResultCode.NotFound, `there is no preset "${name}"`);
            }
            output.print(options.json ? found : found.guarantees, options);
        },
    );
    addChangeOptions(preset.command("set")).description("create or replace a preset").argument(
        "<file>",
        "TOML of one preset",
    )
        .action(
            async (file: string, options: ChangeOptions) =>
                applyChange(options, "PUT", "/v1/presets", { preset: readToml(file) }),
        );
    addChangeOptions(preset.command("use")).description("put a preset in force").argument("<name>").action(
        async (name: string, options: ChangeOptions) => applyChange(options, "POST", "/v1/preset", { preset: name }),
    );
}

function registerAccounts(account: commander.Command): void {
    addOperatorOptions(account.command("list")).description("all client accounts").action(
        async (options: OperatorOptions) => {
            const { contracts } = await readConfiguration(options);
            const rows = contracts.accounts.map(item => ({
                name: item.name,
                weight: item.weight,
                keys: item.keys.length,
                ratePerSecond: item.ratePerSecond,
                maxUnfinishedJobs: item.maxUnfinishedJobs,
                maxAccelerators: item.maxAccelerators,
                once: item.once.kind,
            }));
            output.print(rows, options);
        },
    );
    addChangeOptions(account.command("set")).description("create or replace an account").argument(
        "<file>",
        "TOML of one account",
    )
        .action(async (file: string, options: ChangeOptions) =>
            applyChange(options, "PUT", "/v1/accounts", { account: readToml(file) })
        );
}

function registerZones(zone: commander.Command): void {
    addOperatorOptions(zone.command("list")).description("evacuated zones").action(async (options: OperatorOptions) => {
        const { contracts } = await readConfiguration(options);
        output.print(contracts.evacuatedZones.map(name => ({ name, evacuated: true })), options);
    });
    const addChange = (name: string, description: string, evacuated: boolean) =>
        addChangeOptions(zone.command(name)).description(description).argument("<zone>").action(
            async (target: string, options: ChangeOptions) =>
                applyChange(options, "PUT", "/v1/evacuations", { zone: target, evacuated }),
        );
    addChange("evacuate", "start nothing more on the zone's workers", true);
    addChange("restore", "use the zone's workers again", false);
}

function addOperatorOptions(command: commander.Command): commander.Command {
    return command
        .option("--operators <origins>", "operators' addresses, comma-separated", DEFAULT_ORIGINS)
        .option("--key <key>", `the operator's key (default: the variable ${KEY_ENV_VARIABLE})`)
        .option("--json", "one JSON document");
}

function addChangeOptions(command: commander.Command): commander.Command {
    return addOperatorOptions(command)
        .option("--operation-id <id>", "repeat an operation whose answer was lost")
        .option("--expected-revision <n>", "refuse when another revision is in force", Number);
}

function getClients(options: OperatorOptions): siteClient.SiteClient[] {
    const key = options.key ?? process.env[KEY_ENV_VARIABLE] ?? "";
    return options.operators.split(",").map(origin => siteClient.createSiteClient(origin, key));
}

function callAll(options: OperatorOptions, path: string): Promise<unknown[]> {
    return Promise.all(getClients(options).map(client => client.call("GET", path)));
}

async function readConfiguration(options: OperatorOptions): Promise<ConfigurationBody> {
    return await getClients(options)[0]!.call("GET", "/v1/configuration") as ConfigurationBody;
}

/** Sends a change of the configuration and prints the new revision. A repeated operation id has no further effect. */
async function applyChange(
    options: ChangeOptions,
    method: "POST" | "PUT",
    path: string,
    body: Record<string, unknown>,
): Promise<void> {
    const operationId = options.operationId ?? crypto.randomUUID();
    const req = { ...body, operationId, expectedRevision: options.expectedRevision };
    const head = await getClients(options)[0]!.call(method, path, req) as configuration.ConfigurationHead;
    output.print({
        revision: head.revision,
        preset: head.preset,
        effectiveAt: new Date(head.effectiveAtMs).toISOString(),
        operationId,
    }, options);
}

function readToml(file: string): unknown {
    try {
        return toml.parse(fs.readFileSync(file, "utf8"));
    }
    catch (err) {
        const firstLine = result.getErrorMessage(err).split("\n")[0]!;
        throw new output.CommandError(result.ResultCode.SettingsInvalid, `${file}: ${firstLine}`);
    }
}

function printStatus(statuses: readonly instanceModule.InstanceStatus[], options: OperatorOptions): void {
    if (options.json) {
        output.print(statuses as unknown as ReadonlyArray<Record<string, unknown>>, options);
        return;
    }
    output.print(
        statuses.map(status => ({
            instance: status.instance,
            zone: status.zone,
            revision: status.revision,
            preset: status.preset,
            behind: status.mayBeBehind,
            store: status.storeAvailable ? "up" : "down",
            racks: status.racks.length,
            queues: status.queues.map(item => item.zone).join(",") || "-",
            peers: status.peers.filter(item => item.heard).length,
            memoryMb: status.memoryMb,
        })),
        options,
    );
    output.writeLine("");
    output.print(
        statuses.flatMap(status => status.queues).map(({ useByAccount, ...item }) => ({
            ...item,
            use: Object.entries(useByAccount).map(([name, used]) => `${name}:${used}`).join(" "),
        })),
        options,
    );
    output.writeLine("");
    output.print(
        statuses.flatMap(status => status.histograms.map(item => ({ instance: status.instance, ...item }))),
        options,
    );
    output.writeLine("");
    output.print(
        statuses.flatMap(status =>
            Object.entries(status.counters).map(([counter, value]) => ({ instance: status.instance, counter, value }))
        ),
        options,
    );
}
