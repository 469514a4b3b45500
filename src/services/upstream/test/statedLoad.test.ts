import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { StatedSlowness } from '../common/statedLoad.ts'

const test = suite('statedLoad')

test('a stated slowness counts half after 150 ms and nothing after a second, and extreme values are clamped', () => {
  for (const [value, used] of [[3, 3], [0.5, 0.5], [1e6, 10], [0.01, 0.25]] as const) {
    const slowness = new StatedSlowness()
    assert.is(slowness.get(0), 1)
    slowness.record(value, 100)
    assert.equal([100, 250, 400, 1101].map(now => slowness.get(now)), [used, 1 + (used - 1) / 2, 1 + (used - 1) / 4, 1])
  }
})

test.run()
