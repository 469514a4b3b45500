import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { findInfeasibility } from '../common/preparationFeasibility.ts'
import type { PieceSupply } from '../common/preparationFeasibility.ts'
import { WORK } from './fakes.ts'

const test = suite('preparationFeasibility')
const DEADLINE_MS = 8000

function createSupply (work: Partial<PieceSupply['work']> = {}, upstreamCount = 4): () => PieceSupply {
  return () => ({ work: { ...WORK, resultRoomBytes: 1e9, ...work }, upstreamCount })
}

test('pieces that all upstreams could compute in time are accepted, also where they are faster than configured', () => {
  // 4 upstreams compute 4 pieces in 140 ms.
  const inTime = Math.floor(DEADLINE_MS / 140) * 16
  for (const pieceCount of [0, 1, inTime, 2 * inTime]) assert.is(findInfeasibility([{ role: 'a', pieceCount, resultBytes: 10 }], createSupply(), DEADLINE_MS), undefined)
})

// Guards against work that is begun although it cannot be done before the deadline.
test('pieces that cannot be computed in time are recognized, whatever their number', () => {
  for (const pieceCount of [10_000, 200_000_000, Number.MAX_SAFE_INTEGER]) assert.match(findInfeasibility([{ role: 'a', pieceCount, resultBytes: 0 }], createSupply(), DEADLINE_MS) ?? '', 'pieces of a take at least')
})

test('stages of one role add up, and those of different roles do not', () => {
  const [a, b] = ['a', 'b'].map(role => ({ role, pieceCount: 3000, resultBytes: 10 }))
  assert.ok(a !== undefined && b !== undefined)
  assert.is(findInfeasibility([a, b], createSupply(), DEADLINE_MS), undefined)
  assert.ok(findInfeasibility([a, a], createSupply(), DEADLINE_MS) !== undefined)
})

test('results that exceed all room are recognized', () => {
  const supply = createSupply({ callMs: 0, pieceMs: 0, resultRoomBytes: 1000 })
  assert.is(findInfeasibility([{ role: 'a', pieceCount: 1600, resultBytes: 10 }], supply, DEADLINE_MS), undefined)
  assert.match(findInfeasibility([{ role: 'a', pieceCount: 1601, resultBytes: 10 }], supply, DEADLINE_MS) ?? '', 'exceed the room')
})

test('a role without known upstreams decides nothing', () => {
  assert.is(findInfeasibility([{ role: 'a', pieceCount: 1e9, resultBytes: 10 }], () => undefined, DEADLINE_MS), undefined)
  assert.is(findInfeasibility([{ role: 'a', pieceCount: 1e9, resultBytes: 10 }], createSupply({}, 0), DEADLINE_MS), undefined)
})

test.run()
