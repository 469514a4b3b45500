import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { rankGates } from '../common/locatePolicy.ts'
import type { GateView } from '../common/locatePolicy.ts'

const test = suite('locatePolicy')

function createGates (count: number): readonly GateView[] {
  return Array.from({ length: count }, (_, index) => ({ address: `g${index}`, hall: 'h', inFlight: 0, recentRequests: 0, draining: false, ready: true, ageMs: 0 }))
}

test('gates that are draining, not ready or have an outdated report are not listed', () => {
  const [a, b, c, d] = createGates(4)
  if (a === undefined || b === undefined || c === undefined || d === undefined) throw new Error('no gates')
  const ranked = rankGates({ customer: 'c', salt: '1', gates: [{ ...a, draining: true }, { ...b, ready: false }, { ...c, ageMs: 60_000 }, d] })
  assert.equal(ranked.map(gate => gate.address), ['g3'])
  assert.ok((ranked[0]?.keepMs ?? 0) < (rankGates({ customer: 'c', salt: '1', gates: createGates(4) })[0]?.keepMs ?? 0))
})

test('cached answers of a few large customers are balanced: the busiest gate has at most 1.3 times the mean', () => {
  const recent = new Map(createGates(9).map(gate => [gate.address, 0]))
  for (let question = 0; question < 90; question++) {
    const gates = createGates(9).map(gate => ({ ...gate, recentRequests: recent.get(gate.address) ?? 0 }))
    const chosen = rankGates({ customer: `c${question % 5}`, salt: String(question), gates })[0]?.address ?? ''
    recent.set(chosen, (recent.get(chosen) ?? 0) + 1)
  }
  assert.ok(Math.max(...recent.values()) <= 13, [...recent.values()].join())
})

test('gates without load information that are queried at the same time do not all rank the same gate first', () => {
  const first = Array.from({ length: 9 }, (_, gate) => rankGates({ customer: 'c', salt: `g${gate}/0`, gates: createGates(9) })[0]?.address)
  assert.ok(new Set(first).size >= 4, first.join())
})

test('while one gate has a much higher load than the others, callers may cache the answer only briefly', () => {
  const [a, ...rest] = createGates(4)
  if (a === undefined) throw new Error('no gates')
  const uneven = rankGates({ customer: 'c', salt: '1', gates: [{ ...a, recentRequests: 50 }, ...rest] })[0]
  assert.ok((uneven?.keepMs ?? 0) <= 2000)
  assert.is.not(uneven?.address, 'g0')
})

test.run()
