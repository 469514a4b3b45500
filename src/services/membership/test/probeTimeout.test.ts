import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { computeProbeTimeout } from '../common/probeTimeout.ts'

const test = suite('probeTimeout')

test('the weakest host sets the time, within bounds, and unknown strengths set none', () => {
  assert.is(computeProbeTimeout([]), 400)
  assert.is(computeProbeTimeout([0, 67, 135]), 400)
  assert.is(Math.round(computeProbeTimeout([67, 32])), 838)
  assert.is(computeProbeTimeout([1]), 1200)
})

test.run()
