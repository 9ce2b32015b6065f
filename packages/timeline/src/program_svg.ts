import type { TimelineEvent } from "./event.ts";

interface Span {
  request: string;
  fromMs: number;
  toMs: number;
  label: string;
}

const WIDTH = 900;
const ROW_HEIGHT = 26;
const LEFT_MARGIN = 20;
const TOP_MARGIN = 40;
const BAR_HEIGHT = 16;
const MIN_BAR_WIDTH = 2;

/** Renders the calls of one program as SVG, with one bar per call. */
export function renderProgramSvg(events: TimelineEvent[]): string {
  const spans = collectSpans(events);
  const startMs = Math.min(...spans.map((it) => it.fromMs));
  const endMs = Math.max(...spans.map((it) => it.toMs), startMs + 1);
  const pxPerMs = (WIDTH - 2 * LEFT_MARGIN) / (endMs - startMs);
  const bars = spans.map((span, index) => {
    const x = LEFT_MARGIN + (span.fromMs - startMs) * pxPerMs;
    const width = Math.max(MIN_BAR_WIDTH, (span.toMs - span.fromMs) * pxPerMs);
    const y = TOP_MARGIN + index * ROW_HEIGHT;
    const durationMs = Math.round(span.toMs - span.fromMs);
    return `<rect x="${x.toFixed(1)}" y="${y}" width="${width.toFixed(1)}" ` +
      `height="${BAR_HEIGHT}" fill="#3b7dd8"/>` +
      `<text x="${(x + 4).toFixed(1)}" y="${y + 12}" font-size="11">` +
      `${escapeXml(span.label)} ${durationMs} ms</text>`;
  });
  const height = TOP_MARGIN + spans.length * ROW_HEIGHT + 10;
  const title = escapeXml(events[0]?.program ?? "no program");
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" ` +
    `height="${height}" font-family="sans-serif">` +
    `<text x="${LEFT_MARGIN}" y="22" font-size="14">${title}: ${spans.length} calls, ` +
    `${Math.round(endMs - startMs)} ms</text>${bars.join("")}</svg>\n`;
}

/** Computes the time span of each call from its first and last event. */
function collectSpans(events: TimelineEvent[]): Span[] {
  const spans = new Map<string, Span>();
  for (const event of events) {
    if (event.part !== "call" || event.request === undefined) continue;
    const eventMs = event.stamp.ms;
    const span = spans.get(event.request);
    if (span) span.toMs = eventMs;
    else {
      spans.set(event.request, {
        request: event.request,
        fromMs: eventMs,
        toMs: eventMs,
        label: event.detail ?? event.request,
      });
    }
  }
  return [...spans.values()];
}

function escapeXml(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}
