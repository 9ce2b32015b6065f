import type { RunMetrics } from "./metrics.ts";

/** A line in a plot, with one value per load. */
interface Series {
  name: string;
  points: { x: number; y: number }[];
}

const WIDTH = 520;
const HEIGHT = 260;
const MARGIN = 56;
const COLOURS = ["#d04a35", "#3b7dd8", "#3a9a5c", "#8a5bc2", "#7a7a7a"];

/** Formats the metrics of a policy comparison as an HTML page with plots. */
export function formatReport(title: string, runs: RunMetrics[]): string {
  const plots = [
    renderPlot("Mean program latency (s)", createSeries(runs, meanLatencyS)),
    renderPlot(
      "99th percentile of program latency (s)",
      createSeries(runs, p99LatencyS),
    ),
    renderPlot(
      "Wasted cache tokens (millions)",
      createSeries(runs, wastedMillions),
    ),
  ];
  return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>${title}</title>
<style>body{font:15px system-ui;margin:1rem;max-width:70rem}</style>
<h1>${title}</h1>
${plots.join("\n")}
</html>
`;
}

function meanLatencyS(run: RunMetrics): number {
  return run.program_latency_ms.mean / 1_000;
}

function p99LatencyS(run: RunMetrics): number {
  return run.program_latency_ms.p99 / 1_000;
}

function wastedMillions(run: RunMetrics): number {
  return run.wasted_cache_tokens / 1_000_000;
}

function createSeries(
  runs: RunMetrics[],
  value: (run: RunMetrics) => number,
): Series[] {
  const names = [...new Set(runs.map((run) => run.policy))];
  return names.map((name) => ({
    name,
    points: runs.filter((run) => run.policy === name)
      .map((run) => ({ x: run.load, y: value(run) })),
  }));
}

function renderPlot(title: string, series: Series[]): string {
  const points = series.flatMap((it) => it.points);
  const maxY = Math.max(...points.map((it) => it.y), 1e-9);
  const minX = Math.min(...points.map((it) => it.x));
  const maxX = Math.max(...points.map((it) => it.x), minX + 1e-9);
  const toPixels = (x: number, y: number) => ({
    x: MARGIN + (x - minX) / (maxX - minX) * (WIDTH - 2 * MARGIN),
    y: HEIGHT - MARGIN - y / maxY * (HEIGHT - 2 * MARGIN),
  });
  const lines = series.map((it, index) => renderSeries(it, index, toPixels));
  const loads = [...new Set(points.map((it) => it.x))].map((x) =>
    `<text x="${toPixels(x, 0).x}" y="${
      HEIGHT - MARGIN + 18
    }" font-size="12" text-anchor="middle">${x}</text>`
  );
  return `<figure><figcaption>${title} by load</figcaption>
<svg width="${WIDTH + 140}" height="${HEIGHT}" font-family="system-ui">
<path d="M${MARGIN} ${MARGIN}V${HEIGHT - MARGIN}H${
    WIDTH - MARGIN
  }" fill="none" stroke="#888"/>
<text x="${MARGIN - 8}" y="${MARGIN + 4}" font-size="12" text-anchor="end">${
    maxY.toPrecision(3)
  }</text>
<text x="${MARGIN - 8}" y="${
    HEIGHT - MARGIN + 4
  }" font-size="12" text-anchor="end">0</text>
${loads.join("\n")}
${lines.join("\n")}
</svg></figure>`;
}

function renderSeries(
  { name, points }: Series,
  index: number,
  toPixels: (x: number, y: number) => { x: number; y: number },
): string {
  const colour = COLOURS[index % COLOURS.length];
  const pixels = points.map((it) => toPixels(it.x, it.y));
  const coordinates = pixels.map((it) =>
    `${it.x.toFixed(1)},${it.y.toFixed(1)}`
  );
  const circles = pixels.map((it) =>
    `<circle cx="${it.x.toFixed(1)}" cy="${
      it.y.toFixed(1)
    }" r="3" fill="${colour}"/>`
  );
  return `<polyline points="${
    coordinates.join(" ")
  }" fill="none" stroke="${colour}" stroke-width="2"/>${circles.join("")}
<text x="${WIDTH - MARGIN + 12}" y="${
    MARGIN + 18 * index
  }" font-size="13" fill="${colour}">${name}</text>`;
}
