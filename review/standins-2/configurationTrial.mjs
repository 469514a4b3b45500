/**
 * What the cases on refused configurations share: the operator writes a version that moves a route to another service, adds a key and
 * takes one away. Which machines handle requests that are sent `config_apply_ms` later in a way that only the older version allows?
 */
import { send } from './client.mjs'
import { Engine } from './engine.mjs'
import { Nodes } from './nodes.mjs'
import { Store } from './store.mjs'
import { BROKEN, COULD_NOT_RUN, HELD, Trial, wait } from './trial.mjs'

const HALLS = ['hall-a', 'hall-b', 'hall-c']
const HOST = 'lab.example'
const PATH = '/reserve/'
const CONFIG_APPLY_MS = 2000
const DEADLINE_MS = 3000
const ROUNDS = 20
const ROUND_MS = 250
const RECOVER_MS = 12_000
const RECOVER_ROUNDS = 5
const KEYS = { kept: 'kd83hs72hd02kfn3', added: 'p04hfyq62nd8sk1m', dropped: 'zz81msnq7dh3kf0w' }
/** What each key's requests have to see once the newer version is in force. */
const DUE = { kept: 'new', added: 'new', dropped: 'refused' }

/**
 * `createNewer` returns the newer version's number, and tenants beside the one that sends the requests. With `killsAll` the processes of
 * all machines are killed afterwards, which is told and does not change the exit code.
 */
export async function runConfigurationTrial (caseFolder, createNewer, { killsAll = false } = {}) {
  const trial = new Trial(caseFolder)
  const store = new Store()
  const runs = new Map()
  const engines = ['desk-old', 'desk-new'].map(service => new Engine({ id: `i-${service}`, service, zone: HALLS[0], slots: 12, workMs: 40, onDidRun: (engine, { id }) => { runs.set(id, engine.service) } }))
  let nodes
  let result
  try {
    nodes = await startNodes(trial, store, engines)
    result = nodes === undefined
      ? { code: COULD_NOT_RUN, summary: ['the nodes were not ready in time'] }
      : await writeAndJudge({ trial, store, nodes, runs, newer: createNewer(trial.hasTrouble) })
    if (killsAll && result.code !== COULD_NOT_RUN) result.summary.push(await killAll(trial, nodes, runs))
  } catch (thrown) {
    result = { code: COULD_NOT_RUN, summary: [String(thrown)] }
  }
  await nodes?.close()
  store.close()
  for (const engine of engines) engine.end()
  trial.finish(result.code, result.summary)
}

function createConfiguration ({ version, service, keys, tenants = [] }) {
  return {
    version,
    routes: [{ name: 'r-desk', host: HOST, path_prefix: PATH, kind: 'unsafe', timeout_ms: 3000, goal_ms: 300, priority: 2, service, attempts: 1, stages: [], public: false }],
    services: ['desk-old', 'desk-new'].map(name => ({ name, health_path: '/health', max_conns: 110 })),
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 5000, idle_timeout_ms: 15000 },
    tenants: [{ name: 'studio', api_keys: keys }, ...tenants]
  }
}

async function startNodes (trial, store, engines) {
  const prefix = await trial.findPrefix(HALLS.length)
  const storeAddress = await store.listen(`${prefix}.2`, 0)
  for (const engine of engines) {
    await engine.listen(`${prefix}.3`)
    engine.register(store)
  }
  store.set('op/config', createConfiguration({ version: 7, service: 'desk-old', keys: [KEYS.kept, KEYS.dropped] }))
  const nodes = new Nodes({ folder: trial.folder, prefix, halls: HALLS, storeAddress })
  nodes.startAll()
  if (await nodes.waitUntilReady(30_000)) return nodes
  await nodes.close()
  return undefined
}

async function writeAndJudge ({ trial, store, nodes, runs, newer }) {
  await wait(5000)
  const older = await askAll(nodes, runs)
  if (older.some(({ seen, name }) => seen !== (name === 'added' ? 'refused' : 'old'))) return { code: COULD_NOT_RUN, summary: ['the first version was not in force'] }
  const document = createConfiguration({ version: newer.version, service: 'desk-new', keys: [KEYS.kept, KEYS.added], tenants: newer.tenants })
  store.set('op/config', document)
  const takenAt = Date.now()
  const bytes = Buffer.byteLength(JSON.stringify(document))
  trial.log(`the store takes version ${newer.version}, ${bytes} bytes`, takenAt)
  await wait(CONFIG_APPLY_MS + 500)
  const answers = []
  for (let round = 0; round < ROUNDS; round++) {
    answers.push(...await askAll(nodes, runs))
    await wait(ROUND_MS)
  }
  for (const { id, node, name, seen, status, sentAt } of answers) trial.log(`${id} with the ${name} key is sent to node ${node}, ${sentAt - takenAt} ms after the store took the version: ${seen}, status ${status}`, sentAt)
  const wrong = answers.filter(({ name, seen }) => seen !== DUE[name])
  const describe = (name, seen) => wrong.filter(answer => answer.name === name && answer.seen === seen).length
  const summary = [
    `version ${newer.version} of ${bytes} bytes; ${answers.length} requests were sent ${CONFIG_APPLY_MS + 500} ms and more after the store had taken it; ${nodes.exits.length} nodes ended`,
    `${wrong.length} were handled in a way that only version 7 allows: ${describe('kept', 'old')} run by the service that the route had left, ${describe('added', 'refused')} refused with 401 though their key exists, ${describe('dropped', 'old')} run with a key that was taken away`
  ]
  if (nodes.exits.length > 0) return { code: COULD_NOT_RUN, summary }
  return { code: wrong.length > 0 ? BROKEN : HELD, summary }
}

/** Kills the processes of all machines, which are started again, and tells how many requests are served `recover_s` after that. */
async function killAll (trial, nodes, runs) {
  trial.log('the processes of all machines are killed')
  for (const node of nodes.nodes) nodes.signal(node, 'SIGKILL')
  await wait(RECOVER_MS + 1000)
  const answers = []
  for (let round = 0; round < RECOVER_ROUNDS; round++) {
    answers.push(...(await askAll(nodes, runs)).filter(({ name }) => name === 'kept'))
    await wait(ROUND_MS)
  }
  for (const { id, node, status, sentAt } of answers) trial.log(`${id} is sent to node ${node} after the kill: status ${status}`, sentAt)
  return `${RECOVER_MS} ms after a kill of all processes, which were started again at once, ${answers.filter(({ status }) => status === 200).length} of ${answers.length} requests with a key that both versions have are served`
}

function askAll (nodes, runs) {
  return Promise.all(nodes.nodes.flatMap(node => Object.entries(KEYS).map(async ([name, key]) => {
    const answer = await send({ address: node.front, host: HOST, path: `${PATH}${name}`, deadlineMs: DEADLINE_MS, key, body: 'handset 7' })
    const service = runs.get(answer.id)
    const seen = service === 'desk-old' ? 'old' : service === 'desk-new' ? 'new' : answer.status === 401 ? 'refused' : 'other'
    return { ...answer, node: node.index, name, seen }
  })))
}
