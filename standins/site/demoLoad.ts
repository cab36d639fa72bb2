/** The mixed load of each deployment, with run times of at most a few seconds. */
import type * as load from "../../src/load/index";

export type DeploymentName = "cedarflue" | "breizh";

interface StreamShape
    extends Omit<load.LoadStream, "key" | "burst" | "duplicates" | "cancellations" | "declaredFactor">
{
    readonly burst?: number;
    readonly duplicates?: number;
    readonly cancellations?: number;
    readonly declaredFactor?: number;
}

const CEDARFLUE: readonly StreamShape[] = [
    // Confirmations of slots must not run twice; queries of free slots may.
    {
        account: "front-desk",
        jobClass: "interactive",
        perSecond: 120,
        accelerators: [0],
        adjacency: "any",
        repeatable: false,
        runMs: 8,
        duplicates: 0.05,
    },
    {
        account: "front-desk",
        jobClass: "interactive",
        perSecond: 120,
        accelerators: [0],
        adjacency: "any",
        repeatable: true,
        runMs: 5,
    },
    {
        account: "route-planning",
        jobClass: "urgent",
        perSecond: 3,
        accelerators: [1, 2, 4],
        adjacency: "worker",
        repeatable: true,
        runMs: 600,
        declaredFactor: 2,
    },
    {
        account: "photo-review",
        jobClass: "batch",
        perSecond: 6,
        burst: 6,
        accelerators: [1, 1, 2],
        adjacency: "any",
        repeatable: true,
        runMs: 800,
        declaredFactor: 3,
        cancellations: 0.05,
    },
    {
        account: "photo-review",
        jobClass: "batch",
        perSecond: 0.3,
        accelerators: [16, 32],
        adjacency: "rack",
        repeatable: true,
        runMs: 1200,
        declaredFactor: 0.5,
    },
    {
        account: "partner-surveys",
        jobClass: "batch",
        perSecond: 1,
        accelerators: [1, 2],
        adjacency: "any",
        repeatable: false,
        runMs: 700,
        duplicates: 0.1,
    },
    {
        account: "partner-surveys",
        jobClass: "batch",
        perSecond: 0.2,
        accelerators: [16],
        adjacency: "rack",
        repeatable: true,
        runMs: 900,
    },
];

const BREIZH: readonly StreamShape[] = [
    {
        account: "counter-checks",
        jobClass: "interactive",
        perSecond: 160,
        accelerators: [0],
        adjacency: "any",
        repeatable: true,
        runMs: 8,
    },
    // Billed checks must not run twice.
    {
        account: "counter-checks",
        jobClass: "interactive",
        perSecond: 60,
        accelerators: [0],
        adjacency: "any",
        repeatable: false,
        runMs: 10,
        duplicates: 0.05,
    },
    {
        account: "rewrites-fr",
        jobClass: "batch",
        perSecond: 5,
        burst: 5,
        accelerators: [1, 2, 4],
        adjacency: "worker",
        repeatable: true,
        runMs: 800,
        declaredFactor: 2,
        cancellations: 0.05,
    },
    {
        account: "rewrites-fr",
        jobClass: "batch",
        perSecond: 0.4,
        accelerators: [16, 32, 64],
        adjacency: "rack",
        repeatable: true,
        runMs: 1200,
        declaredFactor: 0.7,
    },
    {
        account: "rewrites-br",
        jobClass: "batch",
        perSecond: 0.3,
        accelerators: [16, 32],
        adjacency: "rack",
        repeatable: true,
        runMs: 1000,
    },
    {
        account: "town-halls",
        jobClass: "urgent",
        perSecond: 2,
        accelerators: [1, 2],
        adjacency: "any",
        repeatable: true,
        runMs: 500,
    },
    {
        account: "town-halls",
        jobClass: "batch",
        perSecond: 1,
        accelerators: [1],
        adjacency: "any",
        repeatable: false,
        runMs: 600,
        duplicates: 0.1,
    },
];

/** Returns the load streams of a deployment; `scale` multiplies all rates. */
export function getDemoStreams(deployment: DeploymentName, scale: number): load.LoadStream[] {
    const shapes = deployment === "cedarflue" ? CEDARFLUE : BREIZH;
    return shapes.map(shape => ({
        burst: 1,
        duplicates: 0,
        cancellations: 0,
        declaredFactor: 1,
        ...shape,
        perSecond: shape.perSecond * scale,
        key: `example-key-of-${shape.account}`,
    }));
}
