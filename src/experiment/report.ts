/** An HTML page with charts of what was played. */
import type * as outcomes from "./simulationResult";
import type * as summary from "./summary";

export interface Result {
    readonly load: string;
    readonly policy: string;
    readonly seed: number;
    readonly summary: summary.Summary;
    /** Worth that no schedule exceeds; left out of the charts. */
    readonly upperBound?: number;
    readonly samples: readonly outcomes.Sample[];
}

type ChartSpec = Readonly<Record<string, unknown>>;

/** The libraries are loaded here alone: no instance draws charts. */
async function drawChart(spec: ChartSpec): Promise<string> {
    const [vega, lite] = await Promise.all([import("vega"), import("vega-lite")]);
    const compiled = lite.compile(spec as unknown as Parameters<typeof lite.compile>[0]).spec;
    const view = new vega.View(vega.parse(compiled), { renderer: "none" });
    return view.toSVG();
}

export async function renderReport(results: readonly Result[]): Promise<string> {
    const name = (result: Result) => `${result.load} ${result.policy} ${result.seed}`;
    const served = results.flatMap(result =>
        result.summary.classes.flatMap(group =>
            (["inTime", "late", "missed", "refused"] as const).map(kind => ({
                run: name(result),
                class: group.name,
                kind,
                jobs: group[kind],
            }))
        )
    );
    const samples = results.flatMap(result =>
        result.samples.map(sample => ({ run: name(result), ...sample, second: sample.atMs / 1_000 }))
    );
    const over = (field: string, title: string): ChartSpec => ({
        title,
        width: 700,
        height: 180,
        data: { values: samples },
        mark: "line",
        encoding: {
            x: { field: "second", type: "quantitative" },
            y: { field, type: "quantitative" },
            color: { field: "run", type: "nominal" },
        },
    });
    const charts = await Promise.all([
        drawChart({
            title: "Jobs by outcome",
            data: { values: served },
            mark: "bar",
            encoding: {
                x: { field: "jobs", type: "quantitative" },
                y: { field: "class", type: "nominal" },
                row: { field: "run", type: "nominal" },
                color: { field: "kind", type: "nominal", sort: ["inTime", "late", "missed", "refused"] },
            },
        }),
        drawChart(over("utilisation", "Accelerators in use, share")),
        drawChart(over("fragmentation", "Free accelerators on broken workers, share")),
        drawChart(over("waitingJobs", "Jobs that have not begun")),
    ]);
    const rows = results.map(result =>
        `<tr><td>${name(result)}</td><td>${result.summary.all.worth.toFixed(3)}</td>`
        + `<td>${Math.round(result.summary.thrownAwayCoreSeconds)}</td><td>${result.summary.breaches.length}</td></tr>`
    );
    return [
        "<!doctype html><meta charset=\"utf-8\"><title>plantainchute experiment</title>",
        "<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em 1em;text-align:left}</style>",
        "<h1>Experiment</h1>",
        "<table><tr><th>run</th><th>worth</th><th>core-seconds thrown away</th><th>broken promises</th></tr>",
        ...rows,
        "</table>",
        ...charts.map(chart => `<p>${chart}</p>`),
        "",
    ].join("\n");
}
