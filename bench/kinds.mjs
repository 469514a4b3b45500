// Runs one day for each kind of fault, which is injected twice in the day, and one for each of several pairs of kinds drawn
// from a seed, on one or more sites. Writes the results as a table to docs/KINDS.md. The days are run by the users' bench,
// whose path is given together with the site files:
//   node bench/kinds.mjs BENCH [--jobs N] [--pairs N] [--seed N] [--only TEXT] SITE...
import { execFile, execFileSync } from 'node:child_process'
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { basename, join } from 'node:path'
import { parseArgs, promisify } from 'node:util'
import { xoroshiro128plus, unsafeUniformIntDistribution } from 'pure-rand'
import { parse, stringify } from 'smol-toml'

/** Variants in addition to those in the site files. A site refuses a day with a kind that it does not support; the table says so. */
const FAULT_VARIANTS = [
  ['platform_down', ['silent lapse', 'busy lapse', 'reset', 'nodes silent', 'nodes reset meet', 'nodes many revoke meet drain'], { for_s: 5, share: 0.35 }],
  ['platform_compact', [''], { for_s: 5 }],
  ['core_cut', ['all', 'one_way', 'seeds', 'both', 'relieve', 'lure', 'reset meet'], { for_s: 5, count: 2 }],
  ['node_cut', ['all', 'servers', 'meet', 'reset revoke'], { for_s: 6, share: 0.3 }],
  ['node_freeze', ['meet', 'race'], { for_s: 4, share: 0.25 }],
  ['srv_crash', ['gone', 'dark', 'domain'], { for_s: 5, share: 0.2 }],
  ['srv_grey', ['errors', 'shed', 'busy', 'hang', 'reset', 'mute', 'slow'], { for_s: 6, share: 0.2 }],
  ['garble', ['', 'extra', 'unframed', 'early', 'rot'], { for_s: 5, share: 0.5, x: 0.04 }],
  ['scale_in', ['spot', 'reclaim'], { share: 0.15, for_s: 5 }],
  ['srv_cut', ['', 'fronts', 'one_way', 'reset'], { for_s: 5, share: 0.2 }],
  ['replace_with_reuse', ['', 'drain', 'dark'], { share: 0.15 }],
  ['reset_conns', ['', 'silent'], { share: 0.3, x: 0.6 }],
  ['after_ack_kill', ['kill', 'timed'], { for_s: 3 }],
  ['config_change', ['route', 'weights', 'timeout', 'tenant', 'quota', 'topup', 'idle'], {}],
  ['revoke', ['last'], { count: 2, gap_s: 0.5 }],
  ['clock_step', ['ahead', 'back'], { share: 0.4, x: 4000, for_s: 5 }],
  ['herd_kill', ['power', 'off'], { share: 0.6, for_s: 2 }],
  ['roll_term', ['busy', 'drain'], { share: 1, x: 2, gap_s: 1.2 }],
  ['srv_lying_health', ['errors', 'hang', 'reset', 'bad'], { share: 0.2, for_s: 5 }],
  ['srv_flap', [''], { share: 0.2, gap_s: 1.2, for_s: 6 }],
  ['idle_race', [''], { share: 0.5, x: 300, for_s: 6 }]
]
/** Kinds that a day lists in its plan, as planned operations, instead of among its faults. */
const PLANNED_KINDS = new Set(['release', 'scale_in', 'scale_out', 'roll_term', 'config_change', 'config_storm', 'big_config', 'revoke', 'hup', 'add_nodes'])
/** The times at which a fault is injected. Effects of the first may last until the second. */
const INJECTION_TIMES_S = [5, 15]
const PAIR_DELAY_S = 1
/** Number of entries of the report's `first` list that are printed for a day in which rules were broken. */
const MAX_PRINTED_VIOLATIONS = 3

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: { jobs: { type: 'string', default: '4' }, pairs: { type: 'string', default: '12' }, seed: { type: 'string', default: '1' }, only: { type: 'string', default: '' } }
})
const [bench, ...sitePaths] = positionals
const run = promisify(execFile)
mkdirSync('out/kinds', { recursive: true })

function listFaults (site) {
  const variants = FAULT_VARIANTS.flatMap(([kind, hows, rest]) => hows.map(how => ({ kind, how, ...rest })))
  const seen = new Set()
  return [...site.troubles, ...variants].filter(fault => {
    const key = describeFault(fault)
    return seen.has(key) ? false : seen.add(key)
  })
}

function describeFault ({ kind, how = '' }) {
  return how === '' ? kind : `${kind} (${how})`
}

function createDay (site, name, entries) {
  const base = site.day[0]
  const selectEntries = isPlanned => entries.filter(entry => PLANNED_KINDS.has(entry.kind) === isPlanned)
  return { ...base, name, slot: 'trouble', plan: selectEntries(true), faults: [...selectEntries(false), ...base.faults.slice(0, 1)] }
}

function listDays (site) {
  const faults = listFaults(site)
  const random = xoroshiro128plus(Number(values.seed))
  const draw = () => faults[unsafeUniformIntDistribution(0, faults.length - 1, random)]
  const singles = faults.map(fault => ({ title: describeFault(fault), entries: INJECTION_TIMES_S.map(at => ({ ...fault, at })) }))
  const pairs = Array.from({ length: Number(values.pairs) }, () => {
    const [a, b] = [draw(), draw()]
    return { title: `${describeFault(a)} + ${describeFault(b)}`, entries: INJECTION_TIMES_S.flatMap(at => [{ ...a, at }, { ...b, at: at + PAIR_DELAY_S }]) }
  })
  return [...singles, ...pairs].filter(day => day.title.includes(values.only))
}

async function runDay (sitePath, site, day, index) {
  const name = `${site.name}-${index}`
  const dayPath = join('out/kinds', `${name}.toml`)
  const reportPath = join('out/kinds', `${name}.json`)
  writeFileSync(dayPath, stringify(createDay(site, name, day.entries)))
  try {
    await run(bench, ['run', sitePath, dayPath, '--report', reportPath, '--why', `kinds of trouble, one after the other: ${day.title}`], { maxBuffer: 1 << 26, timeout: 300_000 })
    const { G, breaks, fault, first } = JSON.parse(readFileSync(reportPath, 'utf8'))
    return { ...day, worth: G, breaks: Object.keys(breaks), fault, first: first.slice(0, MAX_PRINTED_VIOLATIONS) }
  } catch (thrown) {
    const text = `${thrown.stdout ?? ''}${thrown.stderr ?? ''}`.trim().split('\n').at(-1) ?? ''
    return { ...day, error: text.slice(0, 200) }
  }
}

/** Runs the days with up to `--jobs` of them at once. The results are in the order of the days. */
async function runDays (sitePath, site, days) {
  const results = []
  let next = 0
  const runRemaining = async () => {
    while (next < days.length) {
      const index = next++
      results[index] = await runDay(sitePath, site, days[index], index)
      const { title, worth, breaks, fault, error, first } = results[index]
      console.log(site.name, title, worth ?? '', breaks?.join(' ') ?? '', fault ?? '', error ?? '', breaks?.length > 0 ? JSON.stringify(first) : '')
    }
  }
  await Promise.all(Array.from({ length: Number(values.jobs) }, runRemaining))
  return results
}

function renderCell (result) {
  if (result === undefined) return 'not a kind of this site'
  if (result.error !== undefined) return 'not played'
  const broken = [...result.breaks, ...(result.fault === null ? [] : ['FAULT'])]
  return `${result.worth.toFixed(2)}${broken.length === 0 ? '' : ` **${broken.join(' ')}**`}`
}

function renderTable (bySite) {
  const names = [...bySite.keys()]
  const titles = [...new Set([...bySite.values()].flat().map(result => result.title))]
  const find = (name, title) => bySite.get(name).find(result => result.title === title)
  const commit = execFileSync('git', ['rev-parse', '--short', 'HEAD'], { encoding: 'utf8' }).trim()
  return [
    '# Kinds of trouble',
    '',
    `Each kind of trouble twice in a quiet day, at second ${INJECTION_TIMES_S.join(' and ')}, and pairs drawn with seed ${values.seed}; made by \`bench/kinds.mjs\` at commit ${commit}. A cell gives the day's worth, and in bold the rules that were broken.`,
    '',
    `| kind | ${names.join(' | ')} |`,
    `| --- |${' --- |'.repeat(names.length)}`,
    ...titles.map(title => `| ${title} | ${names.map(name => renderCell(find(name, title))).join(' | ')} |`),
    ''
  ].join('\n')
}

const bySite = new Map()
for (const sitePath of sitePaths) {
  const site = parse(readFileSync(sitePath, 'utf8'))
  bySite.set(basename(sitePath, '.toml'), await runDays(sitePath, site, listDays(site)))
}
writeFileSync(values.only === '' ? 'docs/KINDS.md' : 'out/kinds/partial.md', renderTable(bySite))
