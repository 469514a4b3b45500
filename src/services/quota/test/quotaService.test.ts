import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { FaultRelay } from '../../../base/test/faultRelay.ts'
import { SystemClock } from '../../../base/node/systemClock.ts'
import { LogService } from '../../log/node/logger.ts'
import { CoordinatorLinks } from '../../preparation/node/coordinatorLinks.ts'
import { PreparationCoordinator } from '../../preparation/node/preparationCoordinator.ts'
import { PreparationServer } from '../../preparation/node/preparationServer.ts'
import { PieceProtocol } from '../../preparation/common/pieceProtocol.ts'
import type { PieceCallOutcome } from '../../preparation/common/plannedCall.ts'
import { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import { StatedLimits } from '../common/rateLimitSource.ts'
import { QuotaOwner } from '../common/quotaOwner.ts'
import { RetryAfterSchedule } from '../common/retryAfterSchedule.ts'
import { RateLimitedPieceCalls } from '../node/rateLimitedPieceCalls.ts'
import { QuotaService } from '../node/quotaService.ts'

const test = suite('quotaService')

const UPSTREAM: UpstreamEntry = { id: 'u', role: 'r', address: '127.0.0.1:9', hall: 'x', slots: 8, isLeaving: false }
const NODES = 7
const MAX_RESPONSE_MS = 400
const MAX_RECONNECT_MS = 2000

class CountingPieces extends PieceProtocol {
  callCount = 0

  runPieces (): Promise<PieceCallOutcome> {
    this.callCount++
    return Promise.resolve({ kind: 'answered', pieces: [] })
  }

  freeResults (): Promise<boolean> {
    this.callCount++
    return Promise.resolve(true)
  }
}

/** Runs a node that owns the quota, and others that query it through a relay. */
async function runFleet (getLimit: () => number | undefined, run: (nodes: readonly QuotaService[], relay: FaultRelay) => Promise<void>): Promise<void> {
  const clock = new SystemClock()
  const log = new LogService({ program: 'test', silent: true })
  const registry = new UpstreamRegistry()
  registry.update(UPSTREAM, 'test')
  const limits = new StatedLimits({ findStatedPerS: getLimit })
  const owner = new QuotaOwner({ clock, limits, isOwner: () => true, takeoverDelayMs: 0 })
  const coordinator = new PreparationCoordinator({ clock, log, protocol: new CountingPieces(), registry, getTable: () => undefined })
  const server = new PreparationServer(coordinator, log, upstream => owner.acquire(registry.get(upstream) ?? UPSTREAM))
  const port = await server.listen('127.0.0.1', 0)
  const relay = new FaultRelay()
  const address = `127.0.0.1:${await relay.listen(() => ({ host: '127.0.0.1', port }))}`
  const parts = Array.from({ length: NODES }, () => {
    const links = new CoordinatorLinks({ clock, log })
    const own = new QuotaOwner({ clock, limits, isOwner: () => false })
    return { links, service: new QuotaService({ clock, log, registry, limits, owner: own, links, findOwnerAddress: () => address, countNodes: () => NODES }) }
  })
  try {
    await run(parts.map(({ service }) => service), relay)
  } finally {
    for (const { links, service } of parts) for (const part of [service, links]) part.dispose()
    for (const part of [server, coordinator, relay, registry]) part.dispose()
  }
}

test('nodes that query one owner are together granted the limit, and no more', () => runFleet(() => 2, async nodes => {
  const granted = await Promise.all(nodes.map(node => node.acquire(UPSTREAM, 'r')))
  assert.is(granted.filter(isGranted => isGranted).length, 1)
  assert.ok(nodes.every((node, index) => (node.getWaitMs(UPSTREAM) === 0) === granted[index]))
}))

test('a request to an unreachable owner is denied without a long wait', () => runFleet(() => 20, async ([node], relay) => {
  assert.ok(node !== undefined && await node.acquire(UPSTREAM, 'r'))
  relay.stopForwarding()
  const startedAt = performance.now()
  assert.not(await node.acquire(UPSTREAM, 'r'))
  assert.ok(performance.now() - startedAt < MAX_RESPONSE_MS)
  // The owner is queried over a new connection as soon as the old one is found to be stalled.
  while (!await node.acquire(UPSTREAM, 'r')) {
    assert.ok(performance.now() - startedAt < MAX_RECONNECT_MS)
    await new Promise(resolve => { setTimeout(resolve, 50) })
  }
}))

test('quota for an upstream without a limit is granted without a query to the owner', () => runFleet(() => undefined, async ([node], relay) => {
  relay.blockTraffic()
  assert.ok(node !== undefined && await node.acquire(UPSTREAM, 'r'))
}))

test('calls that compute pieces or free results count against the limit', () => runFleet(() => 1, async ([node]) => {
  assert.ok(node !== undefined)
  const pieces = new CountingPieces()
  const limited = new RateLimitedPieceCalls(pieces, node)
  assert.is((await limited.runPieces(UPSTREAM, [], { timeoutMs: 100 })).kind, 'answered')
  const second = await limited.runPieces(UPSTREAM, [], { timeoutMs: 100 })
  assert.ok(second.kind === 'notRun' && second.reason === 'limited' && second.retryInMs > 0)
  assert.not(await limited.freeResults(UPSTREAM, ['h']))
  assert.is(pieces.callCount, 1)
}))

test('callers that no upstream accepts are given successive retry times', () => runFleet(() => 2, ([node]) => {
  const times = Array.from({ length: 3 }, () => node?.scheduleRetryAfter('r', [UPSTREAM]) ?? 0)
  const [first = 0, second = 0, third = 0] = times
  assert.ok(second - first > 3000 && third > second, times.join(' '))
  return Promise.resolve()
}))

test('callers retry when the limit of an upstream ends, if that is sooner', () => {
  const schedule = new RetryAfterSchedule()
  const inputs = { role: 'r', earliestMs: 100, perS: 1, limitEndsInMs: 1500 }
  assert.equal([0, 0, 0, 0].map(now => schedule.schedule(inputs, now)), [100, 1100, 1500, 1500])
})

test.run()
