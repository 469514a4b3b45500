/**
 * The channels on which watches of the store wait go silent. Later than `contact_ms` after that an engine states that it drains.
 * Which requests arrive there later than `drain_ms` after the store has taken that?
 */
import { send } from '../standins-2/client.mjs'
import { Engine } from '../standins-2/engine.mjs'
import { Nodes } from '../standins-2/nodes.mjs'
import { Store } from '../standins-2/store.mjs'
import { BROKEN, COULD_NOT_RUN, HELD, Trial, wait } from '../standins-2/trial.mjs'

const HALLS = ['hall-a', 'hall-a', 'hall-a', 'hall-a', 'hall-b', 'hall-b', 'hall-c', 'hall-c', 'hall-c']
const HOST = 'lab.example'
const PATH = '/reserve/'
const KEY = 'kd83hs72hd02kfn3'
/** A read with `is_stale` "may be seconds old". */
const STALE_MS = 3000
const CONTACT_MS = 3000
const DRAIN_MS = 2000
/** An engine serves on for `drain_ms` and a little longer. */
const SERVES_ON_MS = DRAIN_MS + 1000
const WORK_MS = 200
const PERIOD_MS = 30
const DEADLINE_MS = 3000

const trial = new Trial(new URL('./', import.meta.url))
const store = new Store({ staleMs: STALE_MS })
const arrivals = []
const cut = []
const engines = HALLS.filter((hall, index) => HALLS.indexOf(hall) === index).map((zone, index) => new Engine({
  id: `i-desk${index}`,
  service: 'desk',
  zone,
  workMs: WORK_MS,
  onDidArrive: (engine, { id }) => arrivals.push({ at: Date.now(), engine: engine.id, id }),
  onDidEnd: (engine, { id }, isCut) => { if (isCut) cut.push({ at: Date.now(), engine: engine.id, id }) }
}))
let nodes

function writeConfiguration (version, timeoutMs) {
  store.set('op/config', {
    version,
    routes: [{ name: 'r-desk', host: HOST, path_prefix: PATH, kind: 'unsafe', timeout_ms: timeoutMs, goal_ms: 300, priority: 2, service: 'desk', attempts: 2, stages: [], public: false }],
    services: [{ name: 'desk', health_path: '/health', max_conns: 110 }],
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 5000, idle_timeout_ms: 15000 },
    tenants: [{ name: 'studio', api_keys: [KEY] }]
  })
}

async function runTrial () {
  const prefix = await trial.findPrefix(HALLS.length)
  const storeAddress = await store.listen(`${prefix}.2`, 0)
  for (const engine of engines) {
    await engine.listen(`${prefix}.3`)
    engine.register(store)
  }
  writeConfiguration(1, 3000)
  nodes = new Nodes({ folder: trial.folder, prefix, halls: HALLS, storeAddress, bounds: { drain_ms: DRAIN_MS, contact_ms: CONTACT_MS } })
  nodes.startAll()
  if (!await nodes.waitUntilReady(30_000)) return { code: COULD_NOT_RUN, summary: ['the nodes were not ready in time'] }
  await wait(6000)
  writeConfiguration(2, 2900)
  trial.log('the operator writes configuration 2')
  await wait(1500)
  const watchers = store.listWatchers()
  trial.log(`watches wait on the channels of ${watchers.join(', ')}`)
  if (watchers.length === 0) return { code: COULD_NOT_RUN, summary: ['no watch waited'] }
  if (trial.hasTrouble) trial.log(`these channels go silent: ${store.silenceWatches().join(', ')}`)
  await wait(CONTACT_MS + 300)
  const [leaving] = engines
  leaving.state = 'draining'
  leaving.register(store)
  const takenAt = Date.now()
  trial.log(`the store takes that ${leaving.id} drains, revision ${store.revision}`, takenAt)
  setTimeout(() => {
    trial.log(`${leaving.id} ends`)
    leaving.end()
    store.remove(`servers/${leaving.id}`)
  }, SERVES_ON_MS)
  const answers = []
  const endAt = takenAt + 9000
  for (let count = 0; Date.now() < endAt; count++) {
    const node = nodes.nodes[count % nodes.nodes.length]
    send({ address: node.front, host: HOST, path: `${PATH}${count}`, deadlineMs: DEADLINE_MS, key: KEY, body: 'handset 7' }).then(answer => answers.push({ ...answer, node: node.index }))
    await wait(PERIOD_MS)
  }
  await wait(DEADLINE_MS + 700)
  return judge(leaving, takenAt, answers)
}

function judge (leaving, takenAt, answers) {
  const late = arrivals.filter(({ at, engine }) => engine === leaving.id && at > takenAt + DRAIN_MS)
  const lost = cut.filter(({ engine }) => engine === leaving.id)
  const byId = new Map(answers.map(answer => [answer.id, answer]))
  for (const { at, engine, id } of arrivals) trial.log(`${id} arrives at ${engine}${late.some(other => other.id === id) ? `, ${at - takenAt} ms after the store took that it drains` : ''}`, at)
  for (const { at, engine, id } of lost) trial.log(`${id} is cut at ${engine}`, at)
  for (const { id, sentAt, endedAt, status, reason, node } of answers) {
    trial.log(`${id} is sent to node ${node}`, sentAt)
    trial.log(`${id} is answered ${status} ${reason}`, endedAt)
  }
  for (const { at, client, told, now } of store.staleReads) trial.log(`stale read of ${client}: told ${told}, newest ${now}`, at)
  const served = answers.filter(({ status }) => status === 200).length
  const summary = [
    `${answers.length} requests were sent, ${served} served; ${nodes.exits.length} nodes ended`,
    `${late.length} requests arrived at ${leaving.id} later than ${DRAIN_MS} ms after the store took that it drains${late.length > 0 ? `, the last one ${Math.max(...late.map(({ at }) => at)) - takenAt} ms after` : ''}`,
    `${lost.length} of them were cut by its end; the requesters saw: ${lost.map(({ id }) => byId.get(id)?.status ?? 'none').join(' ') || 'nothing'}`
  ]
  if (served < answers.length / 2 || nodes.exits.length > 0) return { code: COULD_NOT_RUN, summary }
  return { code: late.length > 0 ? BROKEN : HELD, summary }
}

let result
try {
  result = await runTrial()
} catch (thrown) {
  result = { code: COULD_NOT_RUN, summary: [String(thrown)] }
}
await nodes?.close()
store.close()
for (const engine of engines) engine.end()
trial.finish(result.code, result.summary)
