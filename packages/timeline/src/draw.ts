import type { TimelineEvent } from "./event.ts";

interface Span {
  request: string;
  fromMs: number;
  toMs: number;
  label: string;
}

const WIDTH = 900;
const ROW_HEIGHT = 26;
const LEFT = 20;
const TOP = 40;
const BAR_HEIGHT = 16;
const MIN_BAR_WIDTH = 2;

/** Draws the calls of one program as SVG: a bar for each call. */
export function drawProgram(events: TimelineEvent[]): string {
  const spans = spansOf(events);
  const start = Math.min(...spans.map((it) => it.fromMs));
  const end = Math.max(...spans.map((it) => it.toMs), start + 1);
  const scale = (WIDTH - 2 * LEFT) / (end - start);
  const bars = spans.map((span, index) => {
    const x = LEFT + (span.fromMs - start) * scale;
    const width = Math.max(MIN_BAR_WIDTH, (span.toMs - span.fromMs) * scale);
    const y = TOP + index * ROW_HEIGHT;
    const ms = Math.round(span.toMs - span.fromMs);
    return `<rect x="${x.toFixed(1)}" y="${y}" width="${width.toFixed(1)}" ` +
      `height="${BAR_HEIGHT}" fill="#3b7dd8"/>` +
      `<text x="${(x + 4).toFixed(1)}" y="${y + 12}" font-size="11">` +
      `${escapeXml(span.label)} ${ms} ms</text>`;
  });
  const height = TOP + spans.length * ROW_HEIGHT + 10;
  const title = escapeXml(events[0]?.program ?? "no program");
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" ` +
    `height="${height}" font-family="sans-serif">` +
    `<text x="${LEFT}" y="22" font-size="14">${title}: ${spans.length} calls, ` +
    `${Math.round(end - start)} ms</text>${bars.join("")}</svg>\n`;
}

/** Pairs the events of each call's start and end. */
function spansOf(events: TimelineEvent[]): Span[] {
  const spans = new Map<string, Span>();
  for (const event of events) {
    if (event.part !== "call" || event.request === undefined) continue;
    const at = event.stamp.ms;
    const span = spans.get(event.request);
    if (span) span.toMs = at;
    else {
      spans.set(event.request, {
        request: event.request,
        fromMs: at,
        toMs: at,
        label: event.detail ?? event.request,
      });
    }
  }
  return [...spans.values()];
}

function escapeXml(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}
