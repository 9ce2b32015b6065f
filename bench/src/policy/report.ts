import type { RunFigures } from "./figures.ts";

/** One line of a plot: a value for each load. */
interface Series {
  name: string;
  points: { x: number; y: number }[];
}

const WIDTH = 520;
const HEIGHT = 260;
const MARGIN = 56;
const COLOURS = ["#d04a35", "#3b7dd8", "#3a9a5c", "#8a5bc2", "#7a7a7a"];

/** Writes the figures of a comparison as a page with plots. */
export function formatReport(title: string, runs: RunFigures[]): string {
  const plots = [
    plot("mean program latency, s", seriesOf(runs, meanLatencyS)),
    plot("99th percentile of program latency, s", seriesOf(runs, p99LatencyS)),
    plot("wasted cache, million tokens", seriesOf(runs, wastedMillions)),
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

function meanLatencyS(run: RunFigures): number {
  return run.program_latency_ms.mean / 1_000;
}

function p99LatencyS(run: RunFigures): number {
  return run.program_latency_ms.p99 / 1_000;
}

function wastedMillions(run: RunFigures): number {
  return run.wasted_cache_tokens / 1_000_000;
}

function seriesOf(
  runs: RunFigures[],
  value: (run: RunFigures) => number,
): Series[] {
  const names = [...new Set(runs.map((run) => run.policy))];
  return names.map((name) => ({
    name,
    points: runs.filter((run) => run.policy === name)
      .map((run) => ({ x: run.load, y: value(run) })),
  }));
}

function plot(title: string, series: Series[]): string {
  const points = series.flatMap((it) => it.points);
  const top = Math.max(...points.map((it) => it.y), 1e-9);
  const left = Math.min(...points.map((it) => it.x));
  const right = Math.max(...points.map((it) => it.x), left + 1e-9);
  const place = (x: number, y: number) => ({
    x: MARGIN + (x - left) / (right - left) * (WIDTH - 2 * MARGIN),
    y: HEIGHT - MARGIN - y / top * (HEIGHT - 2 * MARGIN),
  });
  const lines = series.map((it, index) => drawSeries(it, index, place));
  const loads = [...new Set(points.map((it) => it.x))].map((x) =>
    `<text x="${place(x, 0).x}" y="${
      HEIGHT - MARGIN + 18
    }" font-size="12" text-anchor="middle">${x}</text>`
  );
  return `<figure><figcaption>${title}, by load</figcaption>
<svg width="${WIDTH + 140}" height="${HEIGHT}" font-family="system-ui">
<path d="M${MARGIN} ${MARGIN}V${HEIGHT - MARGIN}H${
    WIDTH - MARGIN
  }" fill="none" stroke="#888"/>
<text x="${MARGIN - 8}" y="${MARGIN + 4}" font-size="12" text-anchor="end">${
    top.toPrecision(3)
  }</text>
<text x="${MARGIN - 8}" y="${
    HEIGHT - MARGIN + 4
  }" font-size="12" text-anchor="end">0</text>
${loads.join("\n")}
${lines.join("\n")}
</svg></figure>`;
}

function drawSeries(
  { name, points }: Series,
  index: number,
  place: (x: number, y: number) => { x: number; y: number },
): string {
  const colour = COLOURS[index % COLOURS.length];
  const placed = points.map((it) => place(it.x, it.y));
  const path = placed.map((it) => `${it.x.toFixed(1)},${it.y.toFixed(1)}`);
  const dots = placed.map((it) =>
    `<circle cx="${it.x.toFixed(1)}" cy="${
      it.y.toFixed(1)
    }" r="3" fill="${colour}"/>`
  );
  return `<polyline points="${
    path.join(" ")
  }" fill="none" stroke="${colour}" stroke-width="2"/>${dots.join("")}
<text x="${WIDTH - MARGIN + 12}" y="${
    MARGIN + 18 * index
  }" font-size="13" fill="${colour}">${name}</text>`;
}
