/** Reads and validates settings files in TOML. */
import * as fs from "node:fs";
import * as path from "node:path";
import * as toml from "smol-toml";
import * as z from "zod";
import * as configuration from "../configuration/index";
import * as placement from "../placement/index";
import * as result from "../result/index";
import * as instanceSchema from "./instanceSchema";
import * as problems from "./problems";

/** `instance`: the settings of one instance. `site`: the configuration of a site. */
export type FileKind = "instance" | "site";

/**
 * Reads the settings of an instance and resolves `bootstrapFile` against the folder of the file. Throws a
 * `SettingsError` that lists every problem.
 */
export function readInstanceFile(file: string): instanceSchema.InstanceSettings {
    const settings = parse(file, instanceSchema.instanceSettingsSchema, readToml(file));
    const bootstrapFile = settings.site.bootstrapFile;
    if (bootstrapFile === undefined) {
        return settings;
    }
    return { ...settings, site: { ...settings.site, bootstrapFile: path.resolve(path.dirname(file), bootstrapFile) } };
}

/** Reads a site file. Throws a `SettingsError` that lists every problem, including presets that cannot be placed. */
export function readSiteFile(file: string): configuration.Site {
    const site = parse(file, configuration.siteSchema, readToml(file));
    const inconsistencies = configuration.checkSite(site, site.topology, site.preset);
    if (inconsistencies.length > 0) {
        throw new problems.SettingsError(
            inconsistencies.map(item => ({ file, key: item.path, message: item.message })),
        );
    }
    const unplacedBlocks = site.presets.flatMap((preset, index) =>
        placement.createPlan(preset, site.topology, new Set()).unplaced
            .map(block => ({ file, key: `presets.${index}`, message: placement.describeUnplaced(preset, block) }))
    );
    if (unplacedBlocks.length > 0) {
        throw new problems.SettingsError(unplacedBlocks);
    }
    return site;
}

/**
 * Validates a file of either kind and returns its kind; a file with `topology` or `accounts` is a site file. Throws a
 * `SettingsError` that lists every problem.
 */
export function checkFile(file: string): FileKind {
    const kind: FileKind = "topology" in readToml(file) || "accounts" in readToml(file) ? "site" : "instance";
    if (kind === "site") {
        readSiteFile(file);
    }
    else {
        readInstanceFile(file);
    }
    return kind;
}

function readToml(file: string): Record<string, unknown> {
    let text: string;
    try {
        text = fs.readFileSync(file, "utf8");
    }
    catch (err) {
        throw new problems.SettingsError([{
            file,
            key: "",
            message: `cannot be read: ${result.getErrorMessage(err)}`,
        }]);
    }
    try {
        return toml.parse(text);
    }
    catch (err) {
        const firstLine = result.getErrorMessage(err).split("\n")[0]!;
        const position = err instanceof toml.TomlError ? ` (line ${err.line}, column ${err.column})` : "";
        throw new problems.SettingsError([{ file, key: "", message: `${firstLine}${position}` }]);
    }
}

function parse<T>(file: string, schema: z.ZodType<T>, value: unknown): T {
    const parsed = schema.safeParse(value);
    if (parsed.success) {
        return parsed.data;
    }
    throw new problems.SettingsError(problems.toProblems(file, parsed.error.issues, path => findKeys(schema, path)));
}

/** The keys that a schema allows at a path, through arrays, defaults and optional values. */
function findKeys(schema: z.ZodType, keyPath: readonly string[]): string[] {
    let node: unknown = schema;
    for (const key of keyPath) {
        const inner = unwrap(node);
        node = inner instanceof z.ZodArray
            ? inner.element
            : inner instanceof z.ZodObject
            ? inner.shape[key]
            : undefined;
    }
    const inner = unwrap(node);
    return inner instanceof z.ZodObject ? Object.keys(inner.shape) : [];
}

function unwrap(node: unknown): unknown {
    return node instanceof z.ZodDefault || node instanceof z.ZodOptional ? unwrap(node.unwrap()) : node;
}
