/**
 * After a loss of power hosts come back in any order, and whoever dials one that has no power yet hears nothing at all: the
 * opening packet is lost, and the next one is sent a second later. A dial that was given 500 ms kept a host from asking
 * again for that long, though its seed was there soon after it had begun: of the 0.6 s that hosts took to know each other
 * after such a loss, half were spent so, and every job waits for that.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '../../../base/common/random.ts'
import { SystemClock } from '../../../base/node/systemClock.ts'
import { findFreePort } from '../../../base/test/polling.ts'
import { dialPeer } from '../../facts/node/peerLink.ts'
import type { DialOptions, PeerLink } from '../../facts/node/peerLink.ts'
import { LogService } from '../../log/node/logger.ts'
import { FleetMember } from '../node/fleetMember.ts'

const test = suite('seedWithoutPower')

const POWER_MS = 260
const DEFAULT_DIAL_MS = 500

/** Dials as they go to a host that gets power later: those that begin before are never answered. */
function createDial (powerAt: number): (options: DialOptions) => Promise<PeerLink> {
  return options => {
    if (performance.now() >= powerAt) return dialPeer(options)
    return new Promise((_resolve, reject) => { setTimeout(() => reject(new Error('connect timeout')), options.timeoutMs ?? DEFAULT_DIAL_MS) })
  }
}

test('a host knows its seed soon after that has power, also when it dialled before', async () => {
  const port = await findFreePort()
  const powerAt = performance.now() + POWER_MS
  const common = { hall: 'h', clock: new SystemClock(), log: new LogService({ program: 'test', silent: true }), readyWaitMs: 3000, seedPeriodMs: 100, isSourceNewest: true, hasGates: false }
  const seed = new FleetMember({ ...common, address: `127.0.0.1:${port}`, incarnation: 1, random: new SeededRandom(1), listSeeds: () => [] })
  const early = new FleetMember({ ...common, address: '127.0.0.1:1', incarnation: 2, random: new SeededRandom(2), listSeeds: () => [`127.0.0.1:${port}`], dial: createDial(powerAt) })
  try {
    await seed.listen({ host: '127.0.0.1', port })
    await early.join(Promise.resolve(true))
    assert.is(early.membership.listLive().length, 2)
    assert.ok(performance.now() - powerAt < 180, `${Math.round(performance.now() - powerAt)} ms`)
  } finally {
    early.dispose()
    seed.dispose()
  }
})

test.run()
