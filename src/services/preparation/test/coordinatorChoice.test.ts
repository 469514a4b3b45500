import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { chooseCoordinator, listHomePlans, listPlans } from '../common/coordinatorChoice.ts'

const test = suite('coordinatorChoice')

const a = { address: '10.0.0.1:1', hall: 'x', incarnation: 10, weight: 1 }
const b = { address: '10.0.0.2:1', hall: 'y', incarnation: 20, weight: 1 }
const c = { address: '10.0.0.3:1', hall: 'y', incarnation: 20, weight: 1 }

test('the node that has run longest coordinates, regardless of the order of the list', () => {
  assert.is(chooseCoordinator([b, a, c]), a.address)
  assert.is(chooseCoordinator([c, b]), b.address)
  assert.is(chooseCoordinator([b, c]), b.address)
  assert.is(chooseCoordinator([]), undefined)
})

test('a node that restarts does not take over from the node that replaced it', () => {
  assert.is(chooseCoordinator([{ ...a, incarnation: 30 }, b, c]), b.address)
})

test('the host with the highest weight is preferred, and a node of the hall to any other', () => {
  assert.is(chooseCoordinator([a, b, { ...c, weight: 4 }]), c.address)
  assert.is(chooseCoordinator([a, b, c], 'y'), b.address)
  assert.is(chooseCoordinator([a, b, c], 'z'), a.address)
})

function createUpstreams (perHall: number): readonly { readonly role: string, readonly hall: string }[] {
  return ['x', 'y', 'z'].flatMap(hall => ['r', 's'].flatMap(role => Array.from({ length: perHall }, () => ({ role, hall }))))
}

test('each hall has its own plan if all halls have several upstreams of every role', () => {
  assert.equal(listPlans(createUpstreams(1), 'p'), [''])
  assert.equal([...listPlans(createUpstreams(3), 'p')].sort(), ['x', 'y', 'z'])
  assert.equal(listPlans(createUpstreams(3), 'p'), listPlans(createUpstreams(3).toReversed(), 'p'))
  assert.equal(listPlans([], 'p'), [''])
  assert.equal(listPlans([...createUpstreams(3), { role: 't', hall: 'x' }], 'p'), [''])
})

test('a hall with fewer upstreams of a scarce role gets fewer jobs, so that its queue is not the longest', () => {
  const upstreams = [...createUpstreams(3), { role: 't', hall: 'x' }, { role: 't', hall: 'x' }, { role: 't', hall: 'y' }, { role: 't', hall: 'y' }, { role: 't', hall: 'y' }, { role: 't', hall: 'z' }, { role: 't', hall: 'z' }, { role: 't', hall: 'z' }]
  const countFirst = (roles: readonly string[], hall: string) => Array.from({ length: 4000 }, (_, index) => listPlans(upstreams, `prompt-${index}`, roles)[0]).filter(first => first === hall).length
  assert.ok(Math.abs(countFirst(['r'], 'x') / 4000 - 1 / 3) < 0.03)
  assert.ok(Math.abs(countFirst(['r', 't'], 'x') / 4000 - 0.25 / (0.25 + 2 / 3)) < 0.03)
})

test('a hall that lacks a role is tried last, since its plan uses no upstreams of other halls', () => {
  const upstreams = [...createUpstreams(3), ...['x', 'y'].flatMap(hall => Array.from({ length: 4 }, () => ({ role: 't', hall })))]
  for (let index = 0; index < 200; index++) assert.is(listPlans(upstreams, `prompt-${index}`, ['r', 't']).at(-1), 'z')
})

test('the loss of one upstream moves few prompts to another hall, so that prefix caches stay useful', () => {
  const before = [...createUpstreams(4), ...createUpstreams(4)]
  const after = before.slice(1)
  const movedCount = Array.from({ length: 1000 }, (_, index) => `prompt-${index}`).filter(key => listPlans(before, key, ['r', 's'])[0] !== listPlans(after, key, ['r', 's'])[0]).length
  assert.ok(movedCount < 60, `${movedCount} of 1000 moved`)
})

test('a job with home halls is planned only there, even if one plan serves all other jobs', () => {
  assert.equal(listHomePlans(createUpstreams(1), 'p', ['y']), ['y'])
  assert.equal([...listHomePlans(createUpstreams(1), 'p', ['y', 'z', 'elsewhere'])].sort(), ['y', 'z'])
  assert.equal(listHomePlans(createUpstreams(1), 'p', []), [])
})

test.run()
