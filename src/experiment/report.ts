/** Renders an HTML page with charts of simulation results. */
import type * as simulationResult from "./simulationResult";
import type * as summary from "./summary";

/** Results of one simulation, as the page and `--json` show them. */
export interface Result {
    readonly load: string;
    readonly policy: string;
    readonly seed: number;
    readonly summary: summary.Summary;
    /** Upper bound of the worth that any schedule can earn; not shown in the charts. */
    readonly upperBound?: number;
    readonly samples: readonly simulationResult.Sample[];
}

type ChartSpec = Readonly<Record<string, unknown>>;

/** Renders an SVG. The chart libraries are imported lazily, since only the report needs them. */
async function renderChart(spec: ChartSpec): Promise<string> {
    const [vega, vegaLite] = await Promise.all([import("vega"), import("vega-lite")]);
    const compiled = vegaLite.compile(spec as unknown as Parameters<typeof vegaLite.compile>[0]).spec;
    const view = new vega.View(vega.parse(compiled), { renderer: "none" });
    return view.toSVG();
}

/** Returns the HTML of the page. Needs the optional packages vega and vega-lite. */
export async function renderReport(results: readonly Result[]): Promise<string> {
    const getRunName = (result: Result) => `${result.load} ${result.policy} ${result.seed}`;
    const served = results.flatMap(result =>
        result.summary.classes.flatMap(group =>
            (["inTime", "late", "missed", "refused"] as const).map(kind => ({
                run: getRunName(result),
                class: group.name,
                kind,
                jobs: group[kind],
            }))
        )
    );
    const samples = results.flatMap(result =>
        result.samples.map(sample => ({ run: getRunName(result), ...sample, second: sample.atMs / 1_000 }))
    );
    const createTimeChart = (field: string, title: string): ChartSpec => ({
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
        renderChart({
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
        renderChart(createTimeChart("utilisation", "Share of accelerators in use")),
        renderChart(createTimeChart("fragmentation", "Share of free accelerators on partly used workers")),
        renderChart(createTimeChart("waitingJobs", "Accepted jobs that have not started")),
    ]);
    const rows = results.map(result =>
        `<tr><td>${getRunName(result)}</td><td>${result.summary.all.worth.toFixed(3)}</td>`
        + `<td>${Math.round(result.summary.thrownAwayCoreSeconds)}</td><td>${result.summary.breaches.length}</td></tr>`
    );
    return [
        "<!doctype html><meta charset=\"utf-8\"><title>plantainchute experiment</title>",
        "<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em 1em;text-align:left}</style>",
        "<h1>Experiment</h1>",
        "<table><tr><th>run</th><th>worth</th><th>thrown-away core-seconds</th><th>violated guarantees</th></tr>",
        ...rows,
        "</table>",
        ...charts.map(chart => `<p>${chart}</p>`),
        "",
    ].join("\n");
}
