/** Routes of the operators API: status, and changes of the configuration. docs/OPERATING.md shows its use. */
import * as z from "zod";
import * as broker from "../broker/index";
import * as configuration from "../configuration/index";
import * as placement from "../placement/index";
import * as result from "../result/index";

interface OperatorsHttpOptions {
    readonly reader: configuration.ConfigurationReader;
    readonly store: configuration.ConfigurationStore;
    readonly getStatus: () => unknown;
    readonly getWorkers: () => unknown;
    /** Returns the operator that the key belongs to; `undefined` for an unknown or expired key. */
    readonly authenticate: (key: string) => { readonly name: string; } | undefined;
}

/** Fields of every change. A change that is repeated with the same operation id is applied once. */
const changeSchema = z.object({
    operationId: z.string().min(1).max(128),
    /** Revision that the operator has seen; defaults to the newest that this instance reads from the store. */
    expectedRevision: z.number().int().min(0).optional(),
});
const presetChoiceSchema = changeSchema.extend({ preset: z.string() }).strict();
const presetChangeSchema = changeSchema.extend({ preset: configuration.presetSchema }).strict();
const accountChangeSchema = changeSchema.extend({ account: configuration.accountSchema }).strict();
const evacuationSchema = changeSchema.extend({ zone: z.string(), evacuated: z.boolean() }).strict();

interface Edit {
    readonly contracts: configuration.Contracts;
    readonly preset: string;
}

/** Creates the routes. All of them require an operator's key. */
export function createOperatorsHttp(options: OperatorsHttpOptions): broker.HttpRoute[] {
    const { reader, store } = options;

    const withOperator = (
        handle: (call: broker.HttpCall, current: configuration.Configuration) => Promise<broker.HttpAnswer>,
    ) =>
    async (call: broker.HttpCall): Promise<broker.HttpAnswer> => {
        if (!options.authenticate(call.key)) {
            const message = "the operator's key is missing, unknown or expired";
            return broker.createRefusalAnswer(result.createRefusal(result.ResultCode.Unauthorized, message));
        }
        try {
            return await handle(call, reader.getCurrent()!);
        }
        catch (err) {
            const refusal = err instanceof z.ZodError
                ? result.createRefusal(result.ResultCode.BadRequest, describeIssue(err))
                : result.refusalFromUnknown(err);
            return broker.createRefusalAnswer(refusal);
        }
    };

    /** Reads the newest revision from the store, applies the edit and writes the next revision. */
    const change = async (
        base: z.infer<typeof changeSchema>,
        edit: (newest: configuration.Configuration) => result.Result<Edit>,
    ): Promise<broker.HttpAnswer> => {
        const newest = await reader.readNewest();
        if (!newest) {
            const message = "the table service did not answer; nothing changed";
            return broker.createRefusalAnswer(
                result.createRefusal(result.ResultCode.StoreUnavailable, message, { retryAfterMs: 2000 }),
            );
        }
        const edited = edit(newest);
        if (!edited.ok) {
            return broker.createRefusalAnswer(edited.refusal);
        }
        const { contracts, preset } = edited.value;
        const problem = findProblem(contracts, newest.topology, preset);
        if (problem !== undefined) {
            return broker.createRefusalAnswer(result.createRefusal(result.ResultCode.ConfigurationInvalid, problem));
        }
        const changed = await store.change({
            operationId: base.operationId,
            expectedRevision: base.expectedRevision ?? newest.head.revision,
            contracts,
            topology: newest.topology,
            preset,
        });
        await reader.poll();
        return changed.ok ? { status: 200, body: changed.value } : broker.createRefusalAnswer(changed.refusal);
    };

    return [
        {
            alias: "GET /v1/status",
            action: "status",
            handle: withOperator(async () => ({ status: 200, body: options.getStatus() })),
        },
        {
            alias: "GET /v1/workers",
            action: "workers",
            handle: withOperator(async () => ({ status: 200, body: options.getWorkers() })),
        },
        {
            alias: "GET /v1/configuration",
            action: "configuration",
            handle: withOperator(async (_call, current) => ({
                status: 200,
                body: { head: current.head, contracts: current.contracts },
            })),
        },
        {
            alias: "POST /v1/preset",
            action: "usePreset",
            handle: withOperator(async call => {
                const req = presetChoiceSchema.parse(call.body);
                return change(req, newest =>
                    configuration.getPreset(newest.contracts, req.preset)
                        ? result.ok({ contracts: newest.contracts, preset: req.preset })
                        : result.refuse(result.ResultCode.NotFound, `there is no preset "${req.preset}"`));
            }),
        },
        {
            alias: "PUT /v1/presets",
            action: "setPreset",
            handle: withOperator(async call => {
                const req = presetChangeSchema.parse(call.body);
                return change(req, newest => {
                    const presets = replaceByName(newest.contracts.presets, req.preset);
                    return result.ok({ contracts: { ...newest.contracts, presets }, preset: newest.head.preset });
                });
            }),
        },
        {
            alias: "PUT /v1/accounts",
            action: "setAccount",
            handle: withOperator(async call => {
                const req = accountChangeSchema.parse(call.body);
                return change(req, newest => {
                    const accounts = replaceByName(newest.contracts.accounts, req.account);
                    return result.ok({ contracts: { ...newest.contracts, accounts }, preset: newest.head.preset });
                });
            }),
        },
        {
            alias: "PUT /v1/evacuations",
            action: "setEvacuation",
            handle: withOperator(async call => {
                const { zone, evacuated, ...base } = evacuationSchema.parse(call.body);
                return change(base, ({ contracts, head }) => {
                    const others = contracts.evacuatedZones.filter(name => name !== zone);
                    const evacuatedZones = evacuated ? [...others, zone] : others;
                    return result.ok({ contracts: { ...contracts, evacuatedZones }, preset: head.preset });
                });
            }),
        },
    ];
}

/** Describes why the configuration cannot be put in force; `undefined` when it can. */
function findProblem(
    contracts: configuration.Contracts,
    topology: configuration.Topology,
    preset: string,
): string | undefined {
    const problems = configuration.checkSite(contracts, topology, preset);
    if (problems.length > 0) {
        return `${problems[0]!.path}: ${problems[0]!.message}`;
    }
    for (const item of contracts.presets) {
        const block = placement.createPlan(item, topology, new Set()).unplaced[0];
        if (block) {
            return placement.describeUnplaced(item, block);
        }
    }
    return undefined;
}

function replaceByName<T extends { readonly name: string; }>(items: readonly T[], item: T): T[] {
    const exists = items.some(other => other.name === item.name);
    return exists ? items.map(other => other.name === item.name ? item : other) : [...items, item];
}

function describeIssue(err: z.ZodError): string {
    const issue = err.issues[0]!;
    return `${issue.path.join(".") || "body"}: ${issue.message}`;
}
