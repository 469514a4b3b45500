import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { create } from '@bufbuild/protobuf'
import { ModelPlacementSchema } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { computeNextFencing, isOutdated, MAX_EPOCH, MAX_VERSION } from '../common/fencing.ts'
import { planModels } from '../common/orderPlan.ts'

const test = suite('orderPlan')
const engines = Array.from({ length: 6 }, (_, index) => ({ name: `e${index}`, role: 'generate', isLeaving: false }))

function createPlacement (model: string, replicas: number) {
  return create(ModelPlacementSchema, { role: 'generate', model, modelVersion: '2', replicas })
}

test('each model is placed on the configured number of engines, independent of the order of the engines', () => {
  const placements = [createPlacement('a', 4), createPlacement('b', 2)]
  const plan = planModels(placements, engines)
  const held = [...plan.values()].flat()
  assert.is(held.filter(model => model === 'a@2').length, 4)
  assert.is(held.filter(model => model === 'b@2').length, 2)
  assert.equal([...planModels(placements, [...engines].reverse())].sort(), [...plan].sort())
})

test('a leaving engine gets no models, and only its models move', () => {
  const placements = [createPlacement('a', 3)]
  const before = planModels(placements, engines)
  const leaving = [...before].find(([, models]) => models.length > 0)?.[0]
  const after = planModels(placements, engines.map(engine => ({ ...engine, isLeaving: engine.name === leaving })))
  assert.not(after.has(leaving ?? ''))
  for (const [name, models] of before) if (name !== leaving && models.length > 0) assert.equal(after.get(name), models)
})

test('engines of roles without a placement are not in the plan', () => {
  assert.is(planModels([], engines).size, 0)
})

test('fencing numbers increase with the configuration and with each order, and stay safe integers', () => {
  const number = fc.record({ epoch: fc.integer({ min: 1, max: MAX_EPOCH }), version: fc.integer({ min: 1, max: MAX_VERSION - 1 }) })
  fc.assert(fc.property(number, fc.integer({ min: 0, max: 100 }), (configuration, orders) => {
    let last = 0
    for (let index = 0; index <= orders; index++) {
      const next = computeNextFencing(configuration, last)
      assert.ok(next > last && Number.isSafeInteger(next))
      last = next
    }
    assert.not(isOutdated(configuration, last))
    assert.ok(isOutdated({ ...configuration, version: configuration.version - 1 }, last))
    assert.ok(computeNextFencing({ ...configuration, version: configuration.version + 1 }, last) > last)
  }), { seed: 20261209, numRuns: 500 })
})

test.run()
