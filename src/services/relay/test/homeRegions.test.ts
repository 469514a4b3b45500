/**
 * A route or customer may have home regions: its requests reach upstreams there and nowhere else, also when those are
 * lost.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { hashSha256 } from '../../../base/node/digest.ts'
import { HallRegions } from '../../locate/common/hallRegions.ts'
import { answerWith, FakeUpstream, RelayHarness } from './fakes.ts'
import type { RelayHarnessOptions } from './fakes.ts'

const test = suite('homeRegions')

const WHOLE = 'HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nbody'
const HALL_REGIONS = { a: 'north', b: 'south', c: 'south' }
const CALLS = 6

/** One upstream in each of three halls of two regions; tells how many requests each got. */
async function countByHall (options: Partial<RelayHarnessOptions>, run: (harness: RelayHarness) => Promise<unknown>): Promise<readonly number[]> {
  const upstreams = Object.keys(HALL_REGIONS).map(() => new FakeUpstream(answerWith(WHOLE)))
  const harness = new RelayHarness({ upstreams, halls: Object.keys(HALL_REGIONS), hallRegions: HALL_REGIONS, ...options })
  try {
    await harness.start()
    await run(harness)
    return upstreams.map(({ heads }) => heads.length)
  } finally {
    harness.dispose()
  }
}

async function callOften (harness: RelayHarness, headers = ''): Promise<void> {
  for (let count = 0; count < CALLS; count++) await harness.call('a', headers)
}

test('without homes, requests go to upstreams of all regions', async () => {
  assert.equal(await countByHall({}, callOften), [2, 2, 2])
})

test('requests of a route with homes reach upstreams there and no others', async () => {
  assert.equal(await countByHall({ route: { homeRegions: ['south'] } }, callOften), [0, 3, 3])
})

test('where route and customer have homes, both bind', async () => {
  const customers = [{ name: 't', keySha256: [hashSha256('k')], homeRegions: ['north'] }]
  assert.equal(await countByHall({ customers, route: { homeRegions: ['north', 'south'] } }, harness => callOften(harness, 'Key: k\r\n')), [6, 0, 0])
  const counts = await countByHall({ customers, route: { homeRegions: ['south'] } }, async harness => {
    assert.match((await harness.call('a', 'Key: k\r\n')).text, /^HTTP\/1\.1 503/)
  })
  assert.equal(counts, [0, 0, 0])
})

test('a request whose home upstreams are all gone is refused, and sent nowhere', async () => {
  const counts = await countByHall({ route: { homeRegions: ['north'] } }, async harness => {
    harness.registry.drop('u0', 'test')
    assert.match((await harness.call('a')).text, /^HTTP\/1\.1 503/)
  })
  assert.equal(counts, [0, 0, 0])
})

test('a home that no hall lies in keeps binding, and is told', () => {
  const regions = new HallRegions(HALL_REGIONS)
  assert.equal(regions.listHomeHalls(['west']), [])
  assert.equal(regions.listHomeHalls(['west', 'north']), ['a'])
  assert.is(regions.listHomeHalls([], []), undefined)
  assert.equal(regions.listUnknown(['west', 'north']), ['west'])
})

test.run()
