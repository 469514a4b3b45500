import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { MemoryBudget } from '../common/memoryBudget.ts'
import type { MemoryLease } from '../common/memoryBudget.ts'

const test = suite('memoryBudget')

class Fixture {
  readonly clock = new VirtualClock()
  readonly budget = new MemoryBudget({ clock: this.clock, maxBytes: 1000 })
  readonly evicted: string[] = []

  /** Opens a lease that can be evicted. */
  open (request: string, bytes: number, customer?: string): MemoryLease {
    const lease = this.budget.open(request)
    lease.customer = customer
    assert.ok(lease.reserve(bytes))
    lease.setEviction(() => this.evicted.push(request))
    return lease
  }
}

test('counts what all requests hold, and takes it back', () => {
  const { budget } = new Fixture()
  const [first, second] = [budget.open('a'), budget.open('b')]
  assert.ok(first.reserve(600))
  assert.ok(second.reserve(400))
  assert.not(second.reserve(1))
  first.release(200)
  assert.ok(second.reserve(200))
  first.dispose()
  assert.is(budget.usedBytes, 600)
})

test('evicts the largest stalled request before larger ones that make progress', () => {
  const fixture = new Fixture()
  fixture.open('small', 100)
  fixture.open('large', 200)
  const progressing = fixture.open('progressing', 500)
  fixture.clock.advance(2000)
  progressing.recordProgress()
  fixture.open('new', 300)
  assert.equal(fixture.evicted, ['large'])
})

test('evicts the largest request of the customer whose requests hold the most', () => {
  const fixture = new Fixture()
  fixture.open('only', 400, 'modest')
  for (const request of ['a', 'b', 'c']) fixture.open(request, 190, 'crowd')
  fixture.open('new', 100, 'modest')
  assert.equal(fixture.evicted, ['a'])
})

test('evicts no request that keeps its memory, and refuses the one that holds the most itself', () => {
  const fixture = new Fixture()
  const running = fixture.open('running', 800)
  running.setEviction(undefined)
  const upload = fixture.open('upload', 150)
  assert.not(upload.reserve(100))
  assert.equal(fixture.evicted, [])
  assert.not(fixture.budget.open('new').reserve(300))
  assert.equal(fixture.evicted, ['upload'])
})

test('reports each request that ran short', () => {
  const fixture = new Fixture()
  const requests: string[] = []
  fixture.budget.onDidRunShort(({ request, heldBytes, stalledMs }) => requests.push(`${request} ${heldBytes} ${stalledMs}`))
  fixture.open('a', 900)
  fixture.clock.advance(1500)
  fixture.open('b', 200)
  assert.equal(requests, ['a 900 1500'])
  assert.is(fixture.budget.shortageCount, 1)
})

// Guards against one request that wants more than there is and for which all others give back their memory.
test('a reservation above the whole budget takes nothing from others', () => {
  const budget = new MemoryBudget({ clock: new VirtualClock(), maxBytes: 100 })
  const [holder, wanting] = [budget.open('holder'), budget.open('wanting')]
  assert.ok(holder.reserve(50))
  let isEvicted = false
  holder.setEviction(() => { isEvicted = true })
  assert.not(wanting.reserve(101))
  assert.not(isEvicted)
  assert.is(budget.usedBytes, 50)
  assert.is(budget.shortageCount, 1)
})

test.run()
