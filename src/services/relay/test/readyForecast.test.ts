import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { estimateReadyMs } from '../common/readyForecast.ts'

const test = suite('readyForecast')

const CASES = [
  { name: 'a start ends soon', isOutage: false, sinceMs: 100, expected: 250 },
  { name: 'an outage that has just begun lasts for a second at least', isOutage: true, sinceMs: 60, expected: 1000 },
  { name: 'an outage lasts for as long again as it has', isOutage: true, sinceMs: 2500, expected: 2500 },
  { name: 'no caller is sent away for longer than it would wait', isOutage: true, sinceMs: 60_000, expected: 4000 }
]

for (const { name, expected, ...inputs } of CASES) test(name, () => { assert.is(estimateReadyMs(inputs), expected) })

test.run()
