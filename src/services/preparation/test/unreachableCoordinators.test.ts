import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { COORDINATOR_BACKOFF_MS, UnreachableCoordinators } from '../common/unreachableCoordinators.ts'

const test = suite('unreachableCoordinators')

const CANDIDATE = { address: '10.0.0.1:9', hall: 'x', incarnation: 10, weight: 1 }

test('a coordinator that does not answer is left out for all halls until the backoff ends', () => {
  const unreachable = new UnreachableCoordinators()
  unreachable.recordUnreachable(CANDIDATE.address, 10, 0)
  assert.ok(unreachable.has(CANDIDATE, 'x', 0) && unreachable.has(CANDIDATE, 'y', COORDINATOR_BACKOFF_MS - 1))
  assert.not(unreachable.has(CANDIDATE, 'x', COORDINATOR_BACKOFF_MS))
  assert.not(unreachable.has({ ...CANDIDATE, address: '10.0.0.2:9' }, 'x', 0))
})

test('a process that started later is not left out', () => {
  const unreachable = new UnreachableCoordinators()
  unreachable.recordUnreachable(CANDIDATE.address, 10, 0)
  unreachable.recordMoved(CANDIDATE.address, 10, 'x', 0)
  assert.not(unreachable.has({ ...CANDIDATE, incarnation: 11 }, 'x', 0))
})

// Guards against leaving out the right coordinator of a hall because it gave up the plan of another one. A node that had stood
// in for two halls left the second to its returning coordinator, and then moved 111 jobs of its own hall away as well.
test('a coordinator that moved the jobs of one hall is still chosen for other halls', () => {
  const unreachable = new UnreachableCoordinators()
  unreachable.recordMoved(CANDIDATE.address, 10, 'x', 0)
  assert.ok(unreachable.has(CANDIDATE, 'x', 0))
  assert.not(unreachable.has(CANDIDATE, 'y', 0))
  assert.not(unreachable.has(CANDIDATE, 'x', COORDINATOR_BACKOFF_MS))
})

test.run()
