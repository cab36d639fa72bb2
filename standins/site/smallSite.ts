/** A small site for tests: three zones, each with one rack of two workers, and two client accounts. */
import * as configuration from "../../src/configuration/index";

export const ACCOUNT_KEYS = { alpha: "key-of-alpha", beta: "key-of-beta", expired: "expired-key-of-alpha" } as const;
export const OPERATOR_KEY = "key-of-operator";
const ZONES = ["zone-a", "zone-b", "zone-c"] as const;

export interface SmallSiteOptions {
    readonly workersPerRack?: number;
    readonly account?: Readonly<Record<string, unknown>>;
    readonly limits?: Readonly<Record<string, unknown>>;
    readonly guarantees?: ReadonlyArray<Readonly<Record<string, unknown>>>;
}

export function createSmallSite(options: SmallSiteOptions = {}): configuration.Site {
    const createKey = (text: string, expiresAtMs?: number) => ({ sha256: configuration.hashKey(text), expiresAtMs });
    const racks = ZONES.map(zone => ({
        id: `${zone}-r1`,
        zone,
        workers: Array.from({ length: options.workersPerRack ?? 2 }, (_, index) => ({
            id: `${zone}-r1-w${index + 1}`,
            address: `127.0.0.1:${1 + ZONES.indexOf(zone) * 100 + index}`,
        })),
    }));
    return configuration.siteSchema.parse({
        preset: "ordinary",
        topology: { zones: [...ZONES], capacity: { accelerators: 8, slots: 8, cpus: 32, memoryMb: 65_536 }, racks },
        accounts: [
            {
                name: "alpha",
                keys: [createKey(ACCOUNT_KEYS.alpha), createKey(ACCOUNT_KEYS.expired, 1)],
                ...options.account,
            },
            { name: "beta", keys: [createKey(ACCOUNT_KEYS.beta)] },
        ],
        operators: [{ name: "operator", keys: [createKey(OPERATOR_KEY)] }],
        presets: [
            { name: "ordinary", kind: "ordinary", guarantees: options.guarantees ?? [] },
            { name: "peak", kind: "peak" },
        ],
        limits: options.limits,
    });
}
