import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { rankGates } from '../common/locatePolicy.ts'
import type { GateView } from '../common/locatePolicy.ts'

const test = suite('locatePolicy')

function createGates (count: number): readonly GateView[] {
  return Array.from({ length: count }, (_, index) => ({ address: `g${index}`, hall: 'h', inFlight: 0, sessions: 0, draining: false, ready: true, ageMs: 0 }))
}

test('draining, unready and silent gates are not named', () => {
  const [a, b, c, d] = createGates(4)
  if (a === undefined || b === undefined || c === undefined || d === undefined) throw new Error('no gates')
  const ranked = rankGates({ customer: 'c', salt: 1, gates: [{ ...a, draining: true }, { ...b, ready: false }, { ...c, ageMs: 60_000 }, d] })
  assert.equal(ranked.map(gate => gate.address), ['g3'])
  assert.ok((ranked[0]?.keepMs ?? 0) < (rankGates({ customer: 'c', salt: 1, gates: createGates(4) })[0]?.keepMs ?? 0))
})

test('kept answers of few large customers are spread: the busiest gate has at most 1.3 times the mean', () => {
  const sessions = new Map(createGates(9).map(gate => [gate.address, 0]))
  for (let salt = 0; salt < 90; salt++) {
    const gates = createGates(9).map(gate => ({ ...gate, sessions: sessions.get(gate.address) ?? 0 }))
    const chosen = rankGates({ customer: `c${salt % 5}`, salt, gates })[0]?.address ?? ''
    sessions.set(chosen, (sessions.get(chosen) ?? 0) + 1)
  }
  assert.ok(Math.max(...sessions.values()) <= 13, [...sessions.values()].join())
})

test.run()
