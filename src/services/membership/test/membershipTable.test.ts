import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { SeededRandom } from '../../../base/common/random.ts'
import { FactStore } from '../../facts/common/factStore.ts'
import { isOrderIssuer, isPlatformWatcher, isUpstreamWatcher } from '../common/duty.ts'
import { MembershipTable } from '../common/membershipTable.ts'

const SEED = 20261207
const test = suite('membershipTable')

class Node {
  readonly facts: FactStore
  readonly table: MembershipTable

  constructor (readonly address: string, clock: VirtualClock, incarnation = 1) {
    this.facts = new FactStore(clock)
    this.table = new MembershipTable({ address, hall: 'h', incarnation, clock, random: new SeededRandom(1), facts: this.facts, suspicionTimeoutMs: 1000, retentionMs: 5000 })
  }

  receive (other: Node): void {
    for (const fact of other.facts.listSince(0, '')) this.facts.merge(fact, other.address)
  }

  findState (address: string): string | undefined {
    return this.table.listMembers().find(member => member.address === address)?.state
  }
}

function createPair (): { readonly clock: VirtualClock, readonly a: Node, readonly b: Node } {
  const clock = new VirtualClock()
  const a = new Node('a', clock)
  const b = new Node('b', clock)
  a.receive(b)
  b.receive(a)
  return { clock, a, b }
}

test('a process ranks after an earlier one at its address even if its clock was set back in between', () => {
  const clock = new VirtualClock()
  const [earlier, later, other] = [new Node('b', clock, 9), new Node('b', clock, 5), new Node('a', clock)]
  other.receive(earlier)
  later.receive(other)
  other.receive(later)
  assert.equal(other.table.listPeers().map(({ started, incarnation }) => [started, incarnation]), [[10, 10]])
})

// Guards against the belief that a member is still its earlier process after its later one was reached.
test('a member that was reached after a restart is alive at once, for all that hear of it', () => {
  const { a, b } = createPair()
  a.table.suspect('b')
  a.table.recordRestart('b', 5)
  assert.equal(a.table.listPeers().map(({ state, incarnation }) => [state, incarnation]), [['alive', 5]])
  a.table.recordRestart('b', 4)
  a.table.recordRestart('unknown', 9)
  assert.equal(a.table.listPeers().map(({ incarnation }) => incarnation), [5])
  b.receive(a)
  assert.ok(b.table.incarnation > 5, 'a process that learns of a later one at its address remains known')
})

// Guards against coordinators that change places whenever one of them refutes a suspicion: two nodes that had started in the
// same millisecond moved a hall's plan to each other for two seconds.
test('a member that refutes a suspicion keeps the time of its start', () => {
  const { a, b } = createPair()
  const getStarted = () => a.table.listPeers().map(({ started }) => started)
  const before = getStarted()
  a.table.suspect('b')
  b.receive(a)
  a.receive(b)
  assert.equal(a.table.listPeers().map(({ state, incarnation }) => [state, incarnation]), [['alive', 2]])
  assert.equal(getStarted(), before)
})

test('a suspect that does not refute the suspicion is dead after the timeout, and is removed later', () => {
  const { clock, a } = createPair()
  a.table.suspect('b')
  assert.is(a.findState('b'), 'suspect')
  assert.ok(a.table.listLive().some(member => member.address === 'b'))
  clock.advance(999)
  a.table.expireMembers()
  assert.is(a.findState('b'), 'suspect')
  clock.advance(1)
  a.table.expireMembers()
  assert.is(a.findState('b'), 'dead')
  assert.equal(a.table.listPeers(), [])
  assert.equal([a.table.countLive(), a.table.countKnown()], [1, 2])
  clock.advance(5000)
  a.table.expireMembers()
  assert.is(a.findState('b'), undefined)
})

test('a member that receives the fact of its own death is alive again with a higher incarnation', () => {
  const { clock, a, b } = createPair()
  a.table.suspect('b')
  clock.advance(1000)
  a.table.expireMembers()
  b.receive(a)
  assert.is(b.table.incarnation, 2)
  a.receive(b)
  assert.is(a.findState('b'), 'alive')
})

test('a host that replaces another at the same address is accepted even if its clock, and so its incarnation, is behind', () => {
  const { clock, a } = createPair()
  const replaced = new Node('b', clock, 0)
  replaced.receive(a)
  a.receive(replaced)
  assert.ok(replaced.table.incarnation > 1)
  assert.is(a.findState('b'), 'alive')
})

test('old facts do not make a member alive again that left as planned', () => {
  const { a, b } = createPair()
  b.table.leave()
  a.receive(b)
  assert.is(a.findState('b'), 'left')
  a.table.suspect('b')
  assert.is(a.findState('b'), 'left')
  b.receive(a)
  assert.is(b.findState('b'), 'left')
})

test('every member is probed once per round', () => {
  const clock = new VirtualClock()
  const a = new Node('a', clock)
  for (const name of ['b', 'c', 'd', 'e']) a.receive(new Node(name, clock))
  const round = Array.from({ length: 4 }, () => a.table.chooseProbeTarget())
  assert.equal([...round].sort(), ['b', 'c', 'd', 'e'])
  assert.is(new Node('z', clock).table.chooseProbeTarget(), undefined)
})

test('all members consider each other alive after a partition, whatever states were claimed during it', () => {
  const step = fc.record({ kind: fc.constantFrom('suspect', 'expire', 'hear'), from: fc.nat({ max: 3 }), to: fc.nat({ max: 3 }) })
  fc.assert(fc.property(fc.array(step, { maxLength: 30 }), steps => {
    const clock = new VirtualClock()
    const nodes = ['a', 'b', 'c', 'd'].map(name => new Node(name, clock))
    const shareAll = () => { for (const node of nodes) for (const other of nodes) node.receive(other) }
    shareAll()
    for (const { kind, from, to } of steps) {
      const node = nodes[from]
      const other = nodes[to]
      if (node === undefined || other === undefined || node === other) continue
      if (kind === 'suspect') node.table.suspect(other.address)
      else if (kind === 'hear') node.receive(other)
      else {
        clock.advance(1000)
        node.table.expireMembers()
      }
    }
    for (let round = 0; round < 3; round++) shareAll()
    for (const node of nodes) for (const other of nodes) assert.is(node.findState(other.address), 'alive')
  }), { seed: SEED, numRuns: 1000 })
})

test('each duty has few stewards, all compute the same assignment, and a lost member moves only its own duties', () => {
  const members = Array.from({ length: 9 }, (_, index) => ({ address: `10.0.0.${index}:1`, hall: `h${index % 3}`, state: 'alive' as const, incarnation: 1, weight: 0 }))
  const rest = members.slice(1)
  for (let index = 0; index < 40; index++) {
    const upstream = `u${index}`
    const watchers = members.filter(member => isUpstreamWatcher(upstream, member.address, members))
    assert.is(watchers.length, 2)
    const after = rest.filter(member => isUpstreamWatcher(upstream, member.address, rest))
    for (const watcher of watchers) if (watcher !== members[0]) assert.ok(after.includes(watcher))
  }
  for (const hall of ['h0', 'h1', 'h2']) {
    assert.is(members.filter(member => member.hall === hall && isPlatformWatcher(hall, member.address, members)).length, 2)
    assert.is(members.filter(member => isOrderIssuer(hall, member.address, members)).length, 1)
  }
})

test.run()
