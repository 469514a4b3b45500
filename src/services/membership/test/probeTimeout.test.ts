import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { computeProbeTimeoutMs } from '../common/probeTimeout.ts'

const test = suite('probeTimeout')

test('the weakest host determines the timeout, within bounds, and unknown weights are ignored', () => {
  assert.is(computeProbeTimeoutMs([]), 400)
  assert.is(computeProbeTimeoutMs([0, 67, 135]), 400)
  assert.is(Math.round(computeProbeTimeoutMs([67, 32])), 838)
  assert.is(computeProbeTimeoutMs([1]), 1200)
})

test.run()
