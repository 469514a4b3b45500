// Guards against overload of upstreams that become cold while the store turns all nodes away. Nodes regarded them as warm until
// the store answered again, seconds later: three upstreams got 33 to 43 requests in a second, 10 are allowed.
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { LogService } from '../../log/node/logger.ts'
import { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import { QuotaOwner } from '../common/quotaOwner.ts'
import { ColdStartLimits } from '../common/rateLimitSource.ts'
import { WarmthProbe } from '../common/warmthProbe.ts'
import { UnconfirmedLimits } from '../common/unconfirmedLimits.ts'
import { WarmthProbes } from '../node/warmthProbes.ts'

const test = suite('unconfirmedUpstreams')

const SEED = 20261203
const UPSTREAM: UpstreamEntry = { id: 'u', role: 'r', address: '10.0.0.1:80', hall: 'x', slots: 8, isLeaving: false }
/** The most requests that a cold upstream may receive in a second. */
const BOUND = 10
const COLD_MS = 2500
const STEP_MS = 5
const SECOND_MS = 1000
const TAKEOVER_DELAY_MS = 1400

interface ColdFleetOptions {
  readonly probeMs?: number
  readonly coldFrom?: number
  readonly maxPerS?: number
  readonly takeoverDelayMs?: number
}

/** A quota owner that does not hear the source, and one upstream that it can ask. */
class ColdFleet extends WarmthProbe {
  readonly clock = new VirtualClock()
  readonly registry = new UpstreamRegistry()
  readonly owner: QuotaOwner
  isSourceCurrent = false
  isOwner = true
  isAnswering = true
  probeCount = 0
  private readonly _options: Required<ColdFleetOptions>

  constructor ({ probeMs = 5, coldFrom = Infinity, maxPerS = BOUND, takeoverDelayMs = 0 }: ColdFleetOptions = {}) {
    super()
    this._options = { probeMs, coldFrom, maxPerS, takeoverDelayMs }
    const { clock, registry } = this
    const coldStartLimits = new ColdStartLimits({ clock, getMaxRequestsPerS: () => maxPerS, countKnownNodes: () => 1, countLiveNodes: () => 1 })
    const unconfirmed = new UnconfirmedLimits({ clock, isSourceCurrent: () => this.isSourceCurrent, coldStartLimits })
    this.owner = new QuotaOwner({ clock, limits: coldStartLimits, unconfirmed, isOwner: () => this.isOwner, takeoverDelayMs })
    registry.update(UPSTREAM, 'test')
    const probes = new WarmthProbes({ clock, registry, owner: this.owner, probe: this, log: new LogService({ program: 'test', silent: true }), findHealthPath: () => '/health' })
    assert.ok(probes)
  }

  readColdMs (): Promise<number | undefined> {
    this.probeCount++
    const { clock, _options: { probeMs, coldFrom } } = this
    return new Promise(resolve => {
      clock.schedule(probeMs, () => resolve(this.isAnswering ? clock.now() < coldFrom ? 0 : Math.max(0, coldFrom + COLD_MS - clock.now()) : undefined))
    })
  }

  acquire (): boolean {
    return this.owner.acquire(this.registry.get(UPSTREAM.id) ?? UPSTREAM).isGranted
  }

  /** Asks for one request in each step, and returns when requests were granted. */
  async run (durationMs: number): Promise<readonly number[]> {
    const grantedAt: number[] = []
    for (const until = this.clock.now() + durationMs; this.clock.now() < until; this.clock.advance(STEP_MS)) {
      if (this.acquire()) grantedAt.push(this.clock.now())
      await Promise.resolve()
      await Promise.resolve()
    }
    return grantedAt
  }
}

function countMaxInSecond (times: readonly number[]): number {
  return Math.max(0, ...times.map((from, index) => times.slice(index).filter(at => at - from < SECOND_MS).length))
}

test('an upstream that becomes cold unnoticed gets no more than it bears, whenever it does and however late it answers', async () => {
  const cases = fc.record({ coldFrom: fc.integer({ min: 200, max: 2000 }), probeMs: fc.integer({ min: 1, max: 300 }), arrivalMs: fc.integer({ min: 0, max: 40 }) })
  await fc.assert(fc.asyncProperty(cases, async ({ coldFrom, probeMs, arrivalMs }) => {
    const arrivals = (await new ColdFleet({ coldFrom, probeMs }).run(coldFrom + COLD_MS)).map(at => at + arrivalMs)
    const whileCold = arrivals.filter(at => at >= coldFrom && at < coldFrom + COLD_MS)
    assert.ok(countMaxInSecond(whileCold) <= BOUND, `${countMaxInSecond(whileCold)} in a second`)
  }), { seed: SEED, numRuns: 60 })
})

test('an upstream that proves to be warm gets several times what a cold one bears', async () => {
  const grantedAt = await new ColdFleet().run(2000)
  assert.ok(grantedAt.length > 2 * BOUND * 4, `${grantedAt.length} granted`)
})

test('an upstream that does not answer gets what a cold one bears, and is asked seldom', async () => {
  const fleet = new ColdFleet()
  fleet.isAnswering = false
  const grantedAt = await fleet.run(4000)
  assert.ok(countMaxInSecond(grantedAt) <= BOUND && grantedAt.length >= 8, `${grantedAt.length} granted`)
  assert.ok(fleet.probeCount <= 20, `${fleet.probeCount} probes`)
})

test('few requests need no probe', async () => {
  const fleet = new ColdFleet()
  for (let count = 0; count < 10; count++) {
    assert.ok(fleet.acquire())
    await fleet.run(0)
    fleet.clock.advance(SECOND_MS)
  }
  assert.is(fleet.probeCount, 0)
})

test('nothing is limited or asked while the source is current, or where cold upstreams have no limit', async () => {
  const current = new ColdFleet()
  current.isSourceCurrent = true
  const unlimited = new ColdFleet({ maxPerS: Infinity })
  for (const fleet of [current, unlimited]) {
    assert.is((await fleet.run(1000)).length, 1000 / STEP_MS)
    assert.is(fleet.probeCount, 0)
  }
})

test('a new owner grants nothing before the upstream has proved to be warm or the previous owner\'s requests have arrived', async () => {
  const silent = new ColdFleet({ takeoverDelayMs: TAKEOVER_DELAY_MS })
  silent.isAnswering = false
  const [firstWithoutProof = 0] = await silent.run(2000)
  assert.ok(firstWithoutProof >= TAKEOVER_DELAY_MS)
  const [firstWithProof = Infinity] = await new ColdFleet({ takeoverDelayMs: TAKEOVER_DELAY_MS }).run(2000)
  assert.ok(firstWithProof < 200, `first granted at ${firstWithProof}`)
})

test.run()
