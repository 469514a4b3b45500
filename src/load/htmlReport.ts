/**
 * Renders the report of a run as one self-contained HTML file with tables and SVG plots.
 */
import type { LoadReport } from './loadReport.ts'
import { formatReport } from './loadReport.ts'
import type { Outcome } from './loadRunner.ts'

const WIDTH = 720
const HEIGHT = 200
const MARGIN = 40

interface Series {
  readonly name: string
  readonly color: string
  readonly points: readonly (readonly [number, number])[]
}

function encodeHtml (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;')
}

/** Renders a line chart whose axes start at 0. */
export function renderSvg (xLabel: string, series: readonly Series[]): string {
  const points = series.flatMap(item => item.points)
  const maxX = Math.max(1, ...points.map(([x]) => x))
  const maxY = Math.max(1e-9, ...points.map(([, y]) => y))
  const placeX = (x: number) => MARGIN + x / maxX * (WIDTH - 2 * MARGIN)
  const placeY = (y: number) => HEIGHT - MARGIN - y / maxY * (HEIGHT - 2 * MARGIN)
  const lines = series.map(item => `<polyline fill="none" stroke="${item.color}" stroke-width="1.5" points="${item.points.map(([x, y]) => `${placeX(x).toFixed(1)},${placeY(y).toFixed(1)}`).join(' ')}"/>`)
  const legend = series.map((item, index) => `<text x="${MARGIN + 300 * index}" y="${HEIGHT - 4}" fill="${item.color}" font-size="11">${encodeHtml(item.name)}</text>`)
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif">
<line x1="${MARGIN}" y1="${placeY(0)}" x2="${WIDTH - MARGIN}" y2="${placeY(0)}" stroke="#888"/><line x1="${MARGIN}" y1="${MARGIN}" x2="${MARGIN}" y2="${placeY(0)}" stroke="#888"/>
<text x="2" y="${MARGIN}" font-size="11">${maxY.toPrecision(3)}</text><text x="2" y="${placeY(0)}" font-size="11">0</text><text x="${WIDTH - MARGIN - 60}" y="${placeY(0) + 14}" font-size="11">${maxX.toPrecision(3)} ${encodeHtml(xLabel)}</text>
${lines.join('\n')}${legend.join('')}</svg>`
}

function renderPlot (title: string, xLabel: string, series: readonly Series[]): string {
  return `<h3>${encodeHtml(title)}</h3>${renderSvg(xLabel, series)}`
}

/** Counts the requests of each second by outcome. */
function createTimeline (outcomes: readonly Outcome[]): readonly Series[] {
  const seconds = 1 + Math.max(0, ...outcomes.map(outcome => Math.floor(outcome.arrival.atMs / 1000)))
  const countBy = (kind: Outcome['kind']) => Array.from({ length: seconds }, (_, second) => {
    return [second, outcomes.filter(outcome => outcome.kind === kind && Math.floor(outcome.arrival.atMs / 1000) === second).length] as const
  })
  return [
    { name: 'whole', color: '#2a7', points: countBy('whole') },
    { name: 'late', color: '#d90', points: countBy('late') },
    { name: 'refused', color: '#c33', points: countBy('refused') }
  ]
}

/** The cumulative distribution of the time to the whole answer. */
function createLatencyCurve (outcomes: readonly Outcome[]): readonly Series[] {
  const times = outcomes.filter(outcome => outcome.kind === 'whole').map(outcome => outcome.elapsedMs).sort((a, b) => a - b)
  return [{ name: 'share answered', color: '#27c', points: times.map((ms, index) => [ms, (index + 1) / times.length] as const) }]
}

export function renderReport (title: string, report: LoadReport, outcomes: readonly Outcome[]): string {
  return `<!doctype html><html lang="en"><meta charset="utf-8"><title>${encodeHtml(title)}</title>
<body style="font-family:sans-serif;max-width:60em;margin:2em auto"><h1>${encodeHtml(title)}</h1>
<pre>${encodeHtml(formatReport(report))}</pre>
${renderPlot('Requests by second of arrival', 's', createTimeline(outcomes))}
${renderPlot('Time to the whole answer', 'ms', createLatencyCurve(outcomes))}
</body></html>
`
}
