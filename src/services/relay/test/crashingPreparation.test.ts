// Guards against a request whose preparation pieces crash the upstreams that compute them. Failed pieces are retried up
// to a limit per job, so each try of the caller crashed five upstreams; neither the planner nor the node that owns the
// request reported the crashes, and the caller's next try was treated as a new request. The log showed
// `event=piece_call_failed outcome=lost` five times and `event=preparation_refused reason=interrupted
// retry_after_ms=300`. Pieces of other requests that were batched into the same calls failed repeatedly as well.
import { create } from '@bufbuild/protobuf'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Disposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import { SystemClock } from '../../../base/node/systemClock.ts'
import { RelaySchema } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { LogService } from '../../log/node/logger.ts'
import { PieceProtocol } from '../../preparation/common/pieceProtocol.ts'
import type { PieceCallOutcome, PlannedPiece } from '../../preparation/common/plannedCall.ts'
import type { IPreparationService } from '../../preparation/common/preparationService.ts'
import { PreparationClient } from '../../preparation/node/preparationClient.ts'
import { PreparationCoordinator } from '../../preparation/node/preparationCoordinator.ts'
import { PreparationServer } from '../../preparation/node/preparationServer.ts'
import { WORK } from '../../preparation/test/fakes.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import { RelayTable } from '../common/relayTable.ts'
import { answerWith, FakeUpstream, RelayHarness } from './fakes.ts'

const test = suite('crashingPreparation')

const CRASHING = 'crash'
const UPSTREAM_COUNT = 6
const TRIES = 8
const CONCURRENT_REQUESTS = 4
/** Number of upstreams that a request may crash before it is quarantined. */
const MAX_CRASHES = 3
const PIECE_MS = 20
/** Delay until a crashed upstream is removed from the list. */
const LIST_DELAY_MS = 100
const TIMEOUT_MS = 3000

/** Upstreams that compute pieces, and crash if a piece of a certain request is among them. */
class CrashingPieces extends PieceProtocol {
  readonly crashes: string[] = []
  private readonly _upstreams = new Map<string, FakeUpstream>()

  constructor (private readonly _harness: RelayHarness) {
    super()
  }

  async addUpstream (): Promise<void> {
    const upstream = new FakeUpstream(() => {})
    const id = `p${this._upstreams.size}`
    this._upstreams.set(id, upstream)
    this._harness.registry.update({ id, role: 'p', address: await upstream.listen(), hall: '', slots: 1, isLeaving: false }, 'test')
  }

  async runPieces ({ id }: UpstreamEntry, pieces: readonly PlannedPiece[]): Promise<PieceCallOutcome> {
    await new Promise(resolve => { setTimeout(resolve, PIECE_MS) })
    if (pieces.some(piece => piece.jobId.startsWith(CRASHING))) this._endUpstream(id)
    if (this.crashes.includes(id)) return { kind: 'lost', reason: 'the answer was cut off' }
    return { kind: 'answered', pieces: pieces.map(piece => ({ kind: 'made', handle: `${piece.jobId}/${piece.stage}.${piece.index}` })) }
  }

  freeResults (): Promise<boolean> {
    return Promise.resolve(true)
  }

  dispose (): void {
    for (const upstream of this._upstreams.values()) upstream.dispose()
  }

  private _endUpstream (id: string): void {
    if (this.crashes.includes(id)) return
    this.crashes.push(id)
    this._upstreams.get(id)?.stop()
    void this.addUpstream()
    setTimeout(() => this._harness.registry.remove(id, 'test'), LIST_DELAY_MS)
  }
}

/** A node with requests that need preparation, which is planned by the node itself or by another one. */
class PreparingNode extends Disposable {
  readonly harness: RelayHarness
  readonly pieces: CrashingPieces
  private readonly _clock = new SystemClock()
  private readonly _log = new LogService({ program: 'test', silent: true })
  private _client: PreparationClient | undefined

  constructor () {
    super()
    const upstream = new FakeUpstream((socket, head) => answerWith(`HTTP/1.1 200 OK\r\nId: ${/^Id: (.+)\r$/m.exec(head)?.[1]}\r\nContent-Length: 2\r\n\r\nok`)(socket, head))
    const preparation: IPreparationService = {
      prepare: (...args) => {
        if (this._client === undefined) throw new Error('not started')
        return this._client.prepare(...args)
      }
    }
    this.harness = this._register(new RelayHarness({
      upstreams: [upstream],
      route: { timeoutMs: TIMEOUT_MS, stages: [{ role: 'p', after: [], resultBytes: 10 }] },
      preparation
    }))
    this.pieces = this._register(new CrashingPieces(this.harness))
  }

  async start (isPlannedHere: boolean): Promise<void> {
    await this.harness.start()
    for (let index = 0; index < UPSTREAM_COUNT; index++) await this.pieces.addUpstream()
    const [near, far] = [this._createCoordinator(), this._createCoordinator()]
    const server = this._register(new PreparationServer(far, this._log))
    const address = '127.0.0.1:1'
    const planner = isPlannedHere ? address : `127.0.0.1:${await server.listen('127.0.0.1', 0)}`
    this._client = this._register(new PreparationClient({
      clock: this._clock,
      log: this._log,
      protocol: this.pieces,
      registry: this.harness.registry,
      coordinator: near,
      address,
      isMembershipKnown: () => true,
      onDidReceiveMembers: new Emitter<void>().event,
      listCoordinators: () => [{ address: planner, hall: '', incarnation: 1, weight: 1 }],
      listPieceUpstreams: () => this.harness.registry.list()
    }))
  }

  private _createCoordinator (): PreparationCoordinator {
    const table = new RelayTable(create(RelaySchema, { roles: [{ name: 'p', pieceWork: WORK }] }))
    return this._register(new PreparationCoordinator({ clock: this._clock, log: this._log, protocol: this.pieces, registry: this.harness.registry, getTable: () => table }))
  }
}

/** Runs a test twice: with the planner at the request's own node, and at another node. */
async function runNodes (run: (node: PreparingNode) => Promise<void>): Promise<void> {
  for (const isPlannedHere of [true, false]) {
    const node = new PreparingNode()
    try {
      await node.start(isPlannedHere)
      await run(node)
    } finally {
      node.dispose()
    }
  }
}

test('a request whose preparation crashed three upstreams does not reach a fourth', () => runNodes(async ({ harness, pieces }) => {
  const answers: string[] = []
  for (let index = 0; index < TRIES; index++) answers.push((await harness.submit(`${CRASHING}${index}`, CRASHING, 'Pieces: 3\r\n')).text)
  assert.is(pieces.crashes.length, MAX_CRASHES)
  assert.match(answers.at(-1) ?? '', /^HTTP\/1\.1 503 .*requestQuarantined$/s)
}))

test('requests whose pieces are computed in the same calls as those of such a request are served', () => runNodes(async ({ harness }) => {
  for (let index = 0; index < TRIES; index++) {
    const concurrent = Array.from({ length: CONCURRENT_REQUESTS }, (_item, number) => harness.submit(`beside${index}-${number}`, `text ${number}`, 'Pieces: 1\r\n'))
    await harness.submit(`${CRASHING}${index}`, CRASHING, 'Pieces: 1\r\n')
    for (const { text } of await Promise.all(concurrent)) assert.match(text, /^HTTP\/1\.1 200 /)
  }
}))

test.run()
