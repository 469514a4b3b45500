/**
 * A route or customer may have home regions: its requests are only sent to upstreams there, even if those are lost.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { hashSha256 } from '../../../base/node/digest.ts'
import { HallRegions } from '../../locate/common/hallRegions.ts'
import { answerWith, FakeUpstream, RelayHarness } from './fakes.ts'
import type { RelayHarnessOptions } from './fakes.ts'

const test = suite('homeRegions')

const COMPLETE_ANSWER = 'HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nbody'
const HALL_REGIONS = { a: 'north', b: 'south', c: 'south' }
const CALLS = 6

/** Runs with one upstream in each of three halls in two regions; resolves with the number of requests that each received. */
async function countByHall (options: Partial<RelayHarnessOptions>, run: (harness: RelayHarness) => Promise<unknown>): Promise<readonly number[]> {
  const upstreams = Object.keys(HALL_REGIONS).map(() => new FakeUpstream(answerWith(COMPLETE_ANSWER)))
  const harness = new RelayHarness({ upstreams, halls: Object.keys(HALL_REGIONS), hallRegions: HALL_REGIONS, ...options })
  try {
    await harness.start()
    await run(harness)
    return upstreams.map(({ requestHeads: heads }) => heads.length)
  } finally {
    harness.dispose()
  }
}

async function callOften (harness: RelayHarness, headers = ''): Promise<void> {
  for (let count = 0; count < CALLS; count++) await harness.call('a', headers)
}

test('without home regions, requests go to upstreams of all regions', async () => {
  assert.equal(await countByHall({}, callOften), [2, 2, 2])
})

test('requests of a route with home regions reach only upstreams there', async () => {
  assert.equal(await countByHall({ route: { homeRegions: ['south'] } }, callOften), [0, 3, 3])
})

test('if both route and customer have home regions, both restrict the upstreams', async () => {
  const customers = [{ name: 't', keySha256: [hashSha256('k')], homeRegions: ['north'] }]
  assert.equal(await countByHall({ customers, route: { homeRegions: ['north', 'south'] } }, harness => callOften(harness, 'Key: k\r\n')), [6, 0, 0])
  const counts = await countByHall({ customers, route: { homeRegions: ['south'] } }, async harness => {
    assert.match((await harness.call('a', 'Key: k\r\n')).text, /^HTTP\/1\.1 503/)
  })
  assert.equal(counts, [0, 0, 0])
})

test('a request is refused and not sent if all upstreams in its home regions are gone', async () => {
  const counts = await countByHall({ route: { homeRegions: ['north'] } }, async harness => {
    harness.registry.remove('u0', 'test')
    assert.match((await harness.call('a')).text, /^HTTP\/1\.1 503/)
  })
  assert.equal(counts, [0, 0, 0])
})

test('a home region without a hall still restricts requests, and is reported', () => {
  const regions = new HallRegions(HALL_REGIONS)
  assert.equal(regions.listHomeHalls(['west']), [])
  assert.equal(regions.listHomeHalls(['west', 'north']), ['a'])
  assert.is(regions.listHomeHalls([], []), undefined)
  assert.equal(regions.listUnknownRegions(['west', 'north']), ['west'])
})

test.run()
