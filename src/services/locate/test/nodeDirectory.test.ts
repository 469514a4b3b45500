import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Member } from '../../membership/common/membershipTable.ts'
import type { GateView } from '../common/locatePolicy.ts'
import { listNodeAddresses } from '../common/nodeDirectory.ts'

const test = suite('nodeDirectory')

function createGate (host: string, options: Partial<GateView> = {}): GateView {
  return { address: `${host}:80`, hall: 'h', inFlight: 0, recentRequests: 0, draining: false, ready: true, ageMs: 0, ...options }
}

function createMember (host: string, state: Member['state'] = 'alive'): Member {
  return { address: `${host}:90`, hall: 'h', state, incarnation: 1, weight: 0 }
}

const gates = [createGate('10.0.0.1'), createGate('10.0.0.2'), createGate('10.0.0.3')]
const members = [createMember('10.0.0.1'), createMember('10.0.0.2'), createMember('10.0.0.3')]
const inputs = { gates, members, hall: 'h', ownAddress: '10.0.0.1:80', maxKeepMs: 5000 }

test('all nodes that accept requests are listed, the answering one first', () => {
  assert.equal(listNodeAddresses(inputs).addresses, ['10.0.0.1:80', '10.0.0.2:80', '10.0.0.3:80'])
})

const excludedCases: readonly (readonly [string, Partial<typeof inputs>])[] = [
  ['is suspected', { members: [members[0] as Member, createMember('10.0.0.2', 'suspect'), members[2] as Member] }],
  ['has left', { members: [members[0] as Member, createMember('10.0.0.2', 'left'), members[2] as Member] }],
  ['is not in the membership table', { members: [members[0] as Member, members[2] as Member] }],
  ['is stopping', { gates: [gates[0] as GateView, createGate('10.0.0.2', { draining: true }), gates[2] as GateView] }],
  ['is not ready', { gates: [gates[0] as GateView, createGate('10.0.0.2', { ready: false }), gates[2] as GateView] }]
]
for (const [name, change] of excludedCases) {
  test(`a node that ${name} is not listed`, () => {
    assert.equal(listNodeAddresses({ ...inputs, ...change }).addresses, ['10.0.0.1:80', '10.0.0.3:80'])
  })
}

test('if a host\'s routes have home regions, nodes outside them are not listed, including the answering one', () => {
  const gatesByHall = gates.map((gate, index) => ({ ...gate, hall: `h${index + 1}` }))
  const inputsWithHalls = { ...inputs, gates: gatesByHall, ownHall: 'h1' }
  assert.equal(listNodeAddresses({ ...inputsWithHalls, isHome: hall => hall === 'h2' }).addresses, ['10.0.0.2:80'])
  assert.equal(listNodeAddresses({ ...inputsWithHalls, isHome: hall => hall !== 'h2' }).addresses, ['10.0.0.1:80', '10.0.0.3:80'])
  // If no node is in a home region, all nodes are listed.
  assert.is(listNodeAddresses({ ...inputsWithHalls, isHome: () => false }).addresses.length, 3)
})

test('a node with an old report that answers probes is listed, and the cache time is capped', () => {
  const answer = listNodeAddresses({ ...inputs, gates: gates.map(gate => ({ ...gate, ageMs: 9000 })), maxKeepMs: 500 })
  assert.is(answer.addresses.length, 3)
  assert.is(answer.keepMs, 500)
})

test('a node that does not accept requests lists only the others', () => {
  assert.equal(listNodeAddresses({ ...inputs, ownAddress: undefined, gates: [createGate('10.0.0.1', { ready: false }), ...gates.slice(1)] }).addresses, ['10.0.0.2:80', '10.0.0.3:80'])
})

test.run()
