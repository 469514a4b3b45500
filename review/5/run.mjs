/**
 * One client sends each machine one request that states very many pieces, inside the limit for heads. Do machines end by themselves, and
 * cut requests of others that run at sound engines?
 */
import { Agent } from 'node:http'
import { send } from '../standins-2/client.mjs'
import { Engine } from '../standins-2/engine.mjs'
import { Nodes } from '../standins-2/nodes.mjs'
import { Store } from '../standins-2/store.mjs'
import { BROKEN, COULD_NOT_RUN, HELD, Trial, wait } from '../standins-2/trial.mjs'

const HALLS = ['hall-a', 'hall-b', 'hall-c']
const HOST = 'lab.example'
const KEYS = { studio: 'kd83hs72hd02kfn3', stranger: 'p04hfyq62nd8sk1m' }
/** As that of session-script and crashlog-digest. */
const DEADLINE_MS = 8000
const WORK_MS = 300
const BOOKERS_PER_NODE = 6
const MANY_PIECES = 200_000_000
const FEW_PIECES = 20
const CALM_MS = 4000
const PAUSE_MS = 5000
/** "More than three times". */
const MAX_CUT = 3

const trial = new Trial(new URL('./', import.meta.url))
const store = new Store()
const runs = new Set()
const answers = []
const progress = { isOver: false }
const engines = ['desk', 'pool', 'push'].flatMap(service => HALLS.map((zone, index) => new Engine({ id: `i-${service}${index}`, service, zone, slots: 6, workMs: WORK_MS, onDidRun: (_, { id }) => runs.add(id) })))
let nodes

function writeConfiguration () {
  store.set('op/config', {
    version: 7,
    routes: [
      { name: 'r-script', host: HOST, path_prefix: '/script/', kind: 'stream', timeout_ms: DEADLINE_MS, goal_ms: 1000, priority: 1, service: 'pool', attempts: 1, stages: [{ service: 'push', after_rev: [], bytes: 3_000_000 }], public: false, sticky: true, resumable: false, gap_aim_ms: 200 },
      { name: 'r-desk', host: HOST, path_prefix: '/reserve/', kind: 'unsafe', timeout_ms: DEADLINE_MS, goal_ms: 1000, priority: 2, service: 'desk', attempts: 1, stages: [], public: false }
    ],
    services: [
      { name: 'pool', health_path: '/health', max_conns: 370, backend: { slots: 64, kv_capacity: 614_608, kv_token_bytes: 163_840, link_mbps: 1_100_000 } },
      { name: 'desk', health_path: '/health', max_conns: 110 },
      { name: 'push', health_path: '/health', max_conns: 370, segments: { slots: 1, queue_depth: 2, batch_size: 7, call_ms: 150, item_ms: 18.3, headroom_mb: 34.125, session_ttl_s: 4, link_mbps: 10_000 } }
    ],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
    tenants: [{ name: 'studio', api_keys: [KEYS.studio] }, { name: 'stranger', api_keys: [KEYS.stranger] }]
  })
}

/** Sends one booking after the other on a kept channel. */
async function runBooker (node, name) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  let servedCount = 0
  for (let count = 0; !progress.isOver; count++) {
    const answer = await send({ address: node.front, host: HOST, path: `/reserve/${name}-${count}`, deadlineMs: DEADLINE_MS, key: KEYS.studio, body: 'handset 7', agent })
    answers.push({ ...answer, node: node.index, isKept: servedCount > 0 })
    servedCount = answer.status === 200 ? servedCount + 1 : 0
    if (answer.status === 0) await wait(500)
  }
  agent.destroy()
}

async function runTrial () {
  const prefix = await trial.findPrefix(HALLS.length)
  const storeAddress = await store.listen(`${prefix}.2`, 0)
  for (const engine of engines) {
    await engine.listen(`${prefix}.3`)
    engine.register(store)
  }
  writeConfiguration()
  nodes = new Nodes({ folder: trial.folder, prefix, halls: HALLS, storeAddress })
  nodes.startAll()
  if (!await nodes.waitUntilReady(30_000)) return { code: COULD_NOT_RUN, summary: ['the nodes were not ready in time'] }
  await wait(3000)
  const bookers = nodes.nodes.flatMap(node => Array.from({ length: BOOKERS_PER_NODE }, (_, index) => runBooker(node, `${node.index}-${index}`)))
  await wait(CALM_MS)
  const pieces = trial.hasTrouble ? MANY_PIECES : FEW_PIECES
  const strangers = []
  for (const node of nodes.nodes) {
    trial.log(`a request that states ${pieces} pieces is sent to node ${node.index}`)
    strangers.push(send({ address: node.front, host: HOST, path: '/script/1', deadlineMs: DEADLINE_MS, key: KEYS.stranger, body: 'script', headers: { Model: 'm', 'Token-Count': '600,120', 'Prompt-Prefix': '5c1e07a2:400,91bd3f06:200', Pieces: String(pieces), 'Piece-Key': '7c1e07a291bd' } }))
    await wait(PAUSE_MS)
  }
  progress.isOver = true
  await Promise.all(bookers)
  return judge(await Promise.all(strangers))
}

function judge (strangers) {
  for (const { at, node, signal, livedMs } of nodes.exits) trial.log(`node ${node} ends by itself with ${signal} after ${livedMs} ms`, at)
  for (const { id, endedAt, status, reason } of strangers) trial.log(`the request with the pieces, ${id}, ends: ${status} ${reason}`, endedAt)
  for (const { id, node, sentAt, endedAt, status, reason } of answers) {
    trial.log(`booking ${id} is sent to node ${node}`, sentAt)
    trial.log(`booking ${id} ends: ${status} ${reason}${runs.has(id) ? ', an engine ran it' : ''}`, endedAt)
  }
  const cut = answers.filter(({ status, reason, isKept, id }) => status === 0 && reason !== 'gave up' && isKept && runs.has(id))
  const servedCount = answers.filter(({ status }) => status === 200).length
  const summary = [
    `${nodes.exits.length} processes ended by themselves: ${nodes.exits.map(({ node, signal }) => `node ${node}, ${signal}`).join('; ') || 'none'}`,
    `${answers.length} bookings, ${servedCount} served; ${cut.length} were cut on kept channels without an answer though a sound engine ran them`
  ]
  if (servedCount === 0) return { code: COULD_NOT_RUN, summary }
  return { code: cut.length > MAX_CUT ? BROKEN : HELD, summary }
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
