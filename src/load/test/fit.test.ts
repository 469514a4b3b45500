import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { fitBest, predictAt } from '../fit.ts'

const test = suite('fit')
const sizes = [5, 10, 20, 40, 80]

for (const [model, computeValue, at420] of [
  ['constant', () => 7, 7],
  ['log N', (size: number) => 2 + 3 * Math.log2(size), 2 + 3 * Math.log2(420)],
  ['N', (size: number) => 1 + 0.5 * size, 211]
] as const) {
  test(`finds ${model} growth and extrapolates it`, () => {
    const fit = fitBest(sizes.map(size => ({ size, value: computeValue(size) })))
    assert.is(fit.model, model)
    assert.ok(fit.residual < 1e-6)
    assert.ok(Math.abs(predictAt(fit, 420) - at420) < 1e-6)
  })
}

test('noise alone is fitted as constant', () => {
  const noise = [0.1, -0.1, 0.05, -0.05, 0.02]
  assert.is(fitBest(sizes.map((size, index) => ({ size, value: 10 + (noise[index] ?? 0) }))).model, 'constant')
})

test.run()
