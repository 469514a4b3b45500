import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Member } from '../../services/membership/common/membershipTable.ts'
import { CoordinatorDirectory } from '../coordinatorDirectory.ts'

const test = suite('coordinatorDirectory')

function createMember (address: string, hall: string, incarnation: number): Member {
  return { address, hall, state: 'alive', incarnation, weight: 1 }
}

test('a hall has the coordinator of its longest-running node, and another one once that node is gone', () => {
  const [near, younger, far] = [createMember('10.0.0.1:1', 'x', 2), createMember('10.0.0.2:1', 'x', 3), createMember('10.0.0.3:1', 'y', 1)]
  let live: readonly Member[] = [near, younger, far]
  const directory = new CoordinatorDirectory({ listLiveMembers: () => live, port: 9 })
  assert.is(directory.findForHall('x'), '10.0.0.1:9')
  assert.is(directory.findForHall('y'), '10.0.0.3:9')
  assert.is(directory.listCoordinators(), directory.listCoordinators())
  live = [younger, far]
  assert.is(directory.findForHall('x'), '10.0.0.2:9')
  live = [far]
  assert.is(directory.findForHall('x'), '10.0.0.3:9')
  live = []
  assert.is(directory.findForHall('x'), undefined)
})

// Guards against coordinators that change places whenever one of them refutes a suspicion, which raises its incarnation.
test('of two nodes the one that started first stays the coordinator when it refutes a suspicion', () => {
  const older = { ...createMember('10.0.0.1:1', 'x', 10), started: 10 }
  const younger = { ...createMember('10.0.0.2:1', 'x', 11), started: 11 }
  let live: readonly Member[] = [older, younger]
  const directory = new CoordinatorDirectory({ listLiveMembers: () => live, port: 9 })
  assert.is(directory.findForHall('x'), '10.0.0.1:9')
  live = [{ ...older, incarnation: 13 }, younger]
  assert.is(directory.findForHall('x'), '10.0.0.1:9')
  assert.is(directory.findIncarnation('10.0.0.1:9'), 10)
  assert.is(directory.findMember('10.0.0.2:9'), '10.0.0.2:1')
})

test.run()
