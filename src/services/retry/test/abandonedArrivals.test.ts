import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import { AbandonedArrivals, MAX_SILENCE_MS } from '../common/abandonedArrivals.ts'
import { AttemptArrival } from '../common/attemptArrival.ts'

const test = suite('abandonedArrivals')

function createEntry (id: string, address = `${id}:80`): UpstreamEntry {
  return { id, role: 'model', address, hall: '', slots: 4, isLeaving: false }
}

function createArrivals () {
  const clock = new VirtualClock(1000)
  const registry = new UpstreamRegistry()
  const arrivals = new AbandonedArrivals({ clock, registry })
  const abandon = (entry: UpstreamEntry) => {
    const arrival = new AttemptArrival()
    arrivals.add(entry, arrival)
    return arrival
  }
  return { clock, registry, arrivals, abandon }
}

test('an answer settles what was given up before its request was written, at the same upstream', () => {
  const { clock, arrivals, abandon } = createArrivals()
  const earlier = abandon(createEntry('a'))
  const other = abandon(createEntry('b'))
  clock.advance(100)
  const writtenAt = clock.now()
  clock.advance(100)
  const later = abandon(createEntry('a'))
  arrivals.recordAnswer('a', writtenAt)
  assert.equal([earlier, later, other].map(({ isSettled }) => isSettled), [true, false, false])
  assert.is(arrivals.count, 2)
})

test('an upstream that is dropped may read again; another one at its address shows that it has ended', () => {
  const { registry, abandon } = createArrivals()
  registry.update(createEntry('a'), 'test')
  const arrival = abandon(createEntry('a'))
  registry.remove('a', 'test')
  registry.update(createEntry('a'), 'test')
  registry.update(createEntry('b'), 'test')
  assert.not.ok(arrival.isSettled)
  registry.update(createEntry('c', 'a:80'), 'test')
  assert.ok(arrival.isSettled)
})

test('an upstream that is silent for long is considered lost, and nothing is kept for it', () => {
  const { clock, arrivals, abandon } = createArrivals()
  const first = abandon(createEntry('a'))
  clock.advance(MAX_SILENCE_MS - 1)
  assert.not.ok(first.isSettled)
  const second = abandon(createEntry('a'))
  clock.advance(1)
  assert.equal([first.isSettled, second.isSettled], [true, false])
  clock.advance(MAX_SILENCE_MS)
  assert.ok(second.isSettled)
  assert.is(arrivals.count, 0)
})

test.run()
