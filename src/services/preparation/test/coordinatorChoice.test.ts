import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { chooseCoordinator } from '../common/coordinatorChoice.ts'

const test = suite('coordinatorChoice')

const a = { address: '10.0.0.1:1', incarnation: 10 }
const b = { address: '10.0.0.2:1', incarnation: 20 }
const c = { address: '10.0.0.3:1', incarnation: 20 }

test('the node that runs for longest coordinates, whatever the order of the list', () => {
  assert.is(chooseCoordinator([b, a, c]), a.address)
  assert.is(chooseCoordinator([c, b]), b.address)
  assert.is(chooseCoordinator([b, c]), b.address)
  assert.is(chooseCoordinator([]), undefined)
})

test('a node that comes back does not take the jobs from the one that replaced it', () => {
  assert.is(chooseCoordinator([{ ...a, incarnation: 30 }, b, c]), b.address)
})

test.run()
