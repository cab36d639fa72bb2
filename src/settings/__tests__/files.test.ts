/** Settings files: each invalid file yields one message that names the file, the key and what was expected. */
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as settings from "../index";

const INSTANCE = `
[instance]
id = "zone-a-1"
zone = "zone-a"
[listen]
callers = "127.0.0.1:7101"
operators = "127.0.0.1:7201"
peers = "127.0.0.1:7301"
[platform]
origin = "http://127.0.0.1:7000"
`;

const KEY = "0".repeat(64);
const SITE = `
preset = "ordinary"
[topology]
zones = ["zone-a"]
capacity = { accelerators = 8, slots = 8, cpus = 32, memoryMb = 65536 }
[[topology.racks]]
id = "r1"
zone = "zone-a"
workers = [{ id = "w1", address = "127.0.0.1:1" }, { id = "w2", address = "127.0.0.1:2" }]
[[accounts]]
name = "alpha"
keys = [{ sha256 = "${KEY}" }]
[[operators]]
name = "ops"
keys = [{ sha256 = "${"1".repeat(64)}" }]
[[presets]]
name = "ordinary"
kind = "ordinary"
[[presets.guarantees]]
account = "alpha"
blocks = 1
acceleratorsPerBlock = 8
adjacency = "worker"
`;

let folder: string;
beforeAll(() => {
    folder = fs.mkdtempSync(path.join(os.tmpdir(), "settings-"));
});
afterAll(() => fs.rmSync(folder, { recursive: true }));

function check(text: string): string[] {
    const file = path.join(folder, "file.toml");
    fs.writeFileSync(file, text);
    try {
        settings.checkFile(file);
        return [];
    }
    catch (err) {
        return (err as Error).message.split("\n").map(line => line.replace(file, "FILE"));
    }
}

test("a valid file of either kind has no problems", () => {
    expect(check(INSTANCE)).toEqual([]);
    expect(check(SITE)).toEqual([]);
});

test("all files in deployments/ are valid", () => {
    const root = path.resolve(__dirname, "../../../deployments");
    for (const deployment of fs.readdirSync(root)) {
        const files = fs.readdirSync(path.join(root, deployment));
        expect(files).toHaveLength(8);
        for (const file of files) {
            expect(() => settings.checkFile(path.join(root, deployment, file))).not.toThrow();
        }
    }
});

const invalidFiles: ReadonlyArray<{ name: string; text: string; messages: string[]; }> = [
    {
        name: "a file that is not TOML",
        text: `${INSTANCE}\n[site`,
        messages: ["FILE: Invalid TOML document: incomplete key-value: cannot find end of key (line 12, column 2)"],
    },
    {
        name: "a missing key",
        text: INSTANCE.replace("id = \"zone-a-1\"\n", ""),
        messages: ["FILE: instance.id: missing; expected string"],
    },
    {
        name: "an unknown key",
        text: INSTANCE.replace("id =", "name = \"x\"\nid ="),
        messages: ["FILE: instance.name: unknown key; expected one of id, zone"],
    },
    {
        name: "a wrong unit in a key",
        text: `${INSTANCE}[leases]\ncontrolSeconds = 3`,
        messages: [
            "FILE: leases.controlSeconds: unknown key; durations are in milliseconds here: expected \"controlMs\"",
        ],
    },
    {
        name: "a unit in a value",
        text: `${INSTANCE}[leases]\ncontrolMs = "3s"`,
        messages: [
            "FILE: leases.controlMs: expected number, received string; expected whole milliseconds, for instance 2500",
        ],
    },
    {
        name: "an address without a port",
        text: INSTANCE.replace("127.0.0.1:7101", "127.0.0.1"),
        messages: ["FILE: listen.callers: expected host:port"],
    },
    {
        name: "a control lease that is too short to be renewed",
        text: `${INSTANCE}[leases]\ncontrolMs = 1000`,
        messages: [
            "FILE: leases: syncMs + marginMs must be below controlMs, or the lease expires between two renewals",
        ],
    },
    {
        name: "a preset whose guarantees cannot be placed",
        text: SITE.replace("blocks = 1", "blocks = 3"),
        messages: [
            "FILE: presets.0: preset \"ordinary\" cannot fit: account \"alpha\" has no place for a block of 8 accelerators (adjacency worker)",
        ],
    },
    {
        name: "an unknown account in a preset",
        text: SITE.replace("account = \"alpha\"", "account = \"gamma\""),
        messages: ["FILE: presets.0.guarantees.0.account: there is no account \"gamma\""],
    },
    {
        name: "an unknown preset in force",
        text: SITE.replace("preset = \"ordinary\"", "preset = \"peak\""),
        messages: ["FILE: preset: there is no preset \"peak\""],
    },
    {
        name: "a worker listed twice",
        text: SITE.replace("\"w2\"", "\"w1\""),
        messages: ["FILE: topology.racks: worker id \"w1\" occurs twice"],
    },
    {
        name: "an API key that is not a digest",
        text: SITE.replace(KEY, "secret"),
        messages: ["FILE: accounts.0.keys.0.sha256: expected 64 hexadecimal digits"],
    },
    {
        name: "one API key for an account and an operator",
        text: SITE.replace("1".repeat(64), KEY),
        messages: ["FILE: accounts: two holders share one key"],
    },
];

test.each(invalidFiles)("reports $name", ({ text, messages }) => {
    expect(check(text)).toEqual(messages);
});

test("every invalid file yields a different message", () => {
    const messages = invalidFiles.flatMap(item => check(item.text));
    expect(new Set(messages).size).toBe(invalidFiles.length);
});
