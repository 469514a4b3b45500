/**
 * `pepperwood-load slopes`: measures figures at several fleet sizes, fits their growth, and updates the tables and plots of
 * docs/CAPACITY.md.
 */
import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { cpus, totalmem } from 'node:os'
import { join } from 'node:path'
import { defineCommand } from 'citty'
import { exitCodes } from '../services/program/node/program.ts'
import { fitBest, predictAt } from './fit.ts'
import { renderSvg } from './htmlReport.ts'
import type { LoadProfile } from './loadProfile.ts'
import { chooseNetwork, loadProfile } from './runCommand.ts'
import { measureFleet } from './slopes.ts'
import type { FleetFigures } from './slopes.ts'

interface Series {
  readonly name: string
  readonly sizes: readonly number[]
  readonly projectedSize: number
  readonly createProfile: (profile: LoadProfile, size: number) => LoadProfile
}

interface FigureColumn {
  readonly key: keyof FleetFigures
  readonly title: string
  readonly digits: number
}

const FIGURES: readonly FigureColumn[] = [
  { key: 'processorShare', title: 'steward, share of a core', digits: 4 },
  { key: 'residentMb', title: 'steward, resident MB (highest)', digits: 1 },
  { key: 'sentBytesPerSecond', title: 'steward, control bytes/s out', digits: 0 },
  { key: 'receivedBytesPerSecond', title: 'steward, control bytes/s in', digits: 0 },
  { key: 'platformCallsPerSecond', title: 'platform calls/s, whole fleet', digits: 2 },
  { key: 'configurationEverywhereMs', title: 'configuration in force everywhere, ms', digits: 0 },
  { key: 'leavingEverywhereMs', title: 'leaving upstream known everywhere, ms', digits: 0 },
  { key: 'deadEverywhereMs', title: 'dead steward known everywhere, ms', digits: 0 },
  { key: 'falseSuspicions', title: 'false suspicions in the measured time', digits: 0 }
]

/** Scales the number of upstreams to about the given size and keeps the proportions of the groups. */
function setUpstreams (profile: LoadProfile, size: number): LoadProfile {
  const total = profile.upstreams.reduce((sum, group) => sum + group.count, 0)
  const [first, ...rest] = profile.upstreams.map(group => ({ ...group, count: Math.max(1, Math.round(group.count * size / total)) }))
  return first === undefined ? profile : { ...profile, upstreams: [first, ...rest] }
}

function setCustomers (profile: LoadProfile, size: number): LoadProfile {
  const [first, ...rest] = Array.from({ length: size }, (_, index) => ({ name: `customer-${index}`, weight: 1, share: 1, prefixes: 1 }))
  return first === undefined ? profile : { ...profile, customers: [first, ...rest] }
}

const SERIES: readonly Series[] = [
  { name: 'stewards', sizes: [5, 10, 20, 40], projectedSize: 420, createProfile: (profile, size) => ({ ...setUpstreams(profile, 12), hosts: size }) },
  { name: 'upstreams', sizes: [12, 100, 350], projectedSize: 700, createProfile: (profile, size) => setUpstreams(profile, size) },
  { name: 'customers', sizes: [5, 290, 2000], projectedSize: 290, createProfile: (profile, size) => setCustomers(profile, size) }
]

const MEASURE_MS = 6000
const MARKERS = { begin: '<!-- slopes: begin -->', end: '<!-- slopes: end -->' } as const

interface MeasuredSize {
  readonly size: number
  readonly figures: FleetFigures
}

function formatFit (kind: FigureColumn, series: Series, measured: readonly MeasuredSize[]): string {
  const fit = fitBest(measured.map(({ size, figures }) => ({ size, value: figures[kind.key] })))
  const cells = [
    kind.title,
    ...measured.map(({ figures }) => figures[kind.key].toFixed(kind.digits)),
    fit.model,
    fit.model === 'constant' ? '' : fit.slope.toPrecision(3),
    fit.residual.toPrecision(2),
    predictAt(fit, series.projectedSize).toFixed(kind.digits)
  ]
  return `| ${cells.join(' | ')} |`
}

function formatSeries (series: Series, measured: readonly MeasuredSize[]): string {
  const sizes = measured.map(item => String(item.size))
  return [
    `### By ${series.name}`,
    '',
    `| figure | ${sizes.join(' | ')} | grows with | slope | residual | fitted at ${series.projectedSize} |`,
    `| --- | ${sizes.map(() => '---').join(' | ')} | --- | --- | --- | --- |`,
    ...FIGURES.map(kind => formatFit(kind, series, measured)),
    `| document bytes | ${measured.map(item => item.figures.documentBytes).join(' | ')} | | | | |`,
    ''
  ].join('\n')
}

/** Replaces the text between the page's markers. */
function updatePage (file: string, text: string): void {
  const page = existsSync(file) ? readFileSync(file, 'utf8') : `${MARKERS.begin}\n${MARKERS.end}\n`
  const begin = page.indexOf(MARKERS.begin) + MARKERS.begin.length
  writeFileSync(file, `${page.slice(0, begin)}\n\n${text}\n${page.slice(page.indexOf(MARKERS.end))}`)
}

function writePlots (series: Series, measured: readonly MeasuredSize[], directory: string): void {
  mkdirSync(directory, { recursive: true })
  for (const key of ['receivedBytesPerSecond', 'processorShare', 'configurationEverywhereMs'] as const) {
    const fit = fitBest(measured.map(({ size, figures }) => ({ size, value: figures[key] })))
    const svg = renderSvg(series.name, [
      { name: `${key}, measured`, color: '#27c', points: measured.map(item => [item.size, item.figures[key]] as const) },
      { name: `fitted (${fit.model})`, color: '#c33', points: measured.map(item => [item.size, predictAt(fit, item.size)] as const) }
    ])
    writeFileSync(join(directory, `${series.name}-${key}.svg`), `${svg}\n`)
  }
}

export const slopesCommand = defineCommand({
  meta: { name: 'slopes', description: 'Measure how a steward\'s use grows. Example: pepperwood-load slopes --profile bench/profiles/kingston.toml --page docs/CAPACITY.md' },
  args: {
    profile: { type: 'string', default: 'bench/profiles/kingston.toml', description: 'The profile (TOML)', valueHint: 'FILE' },
    page: { type: 'string', default: 'docs/CAPACITY.md', description: 'The page whose tables are updated', valueHint: 'FILE' },
    plots: { type: 'string', default: 'docs/capacity', description: 'Directory for the plots', valueHint: 'DIR' },
    out: { type: 'string', default: 'out/slopes', description: 'Directory for settings and logs', valueHint: 'DIR' }
  },
  async run ({ args }) {
    const profile = loadProfile(args.profile)
    const sections: string[] = []
    for (const series of SERIES) {
      const measured: MeasuredSize[] = []
      for (const size of series.sizes) {
        const directory = join(args.out, `${series.name}-${size}`)
        const figures = await measureFleet({ profile: series.createProfile(profile, size), network: chooseNetwork(), directory, gates: 2, measureMs: MEASURE_MS })
        process.stderr.write(`${series.name}=${size} ${JSON.stringify(figures)}\n`)
        measured.push({ size, figures })
      }
      writePlots(series, measured, args.plots)
      sections.push(formatSeries(series, measured))
    }
    const environment = `Measured on ${new Date().toISOString().slice(0, 10)}, ${cpus().length} cores, ${Math.round(totalmem() / 2 ** 30)} GiB, Node.js ${process.version}.`
    const text = `${environment}\n\n${sections.join('\n')}`
    updatePage(args.page, text)
    process.stdout.write(`${text}\n`)
    process.exit(exitCodes.ok)
  }
})
