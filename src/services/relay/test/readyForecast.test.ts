import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { estimateReadyMs } from '../common/readyForecast.ts'

const test = suite('readyForecast')

const CASES = [
  { name: 'a start is expected to complete soon', isOutage: false, sinceMs: 100, expected: 250 },
  { name: 'an outage that has just begun is expected to last for at least a second', isOutage: true, sinceMs: 60, expected: 1000 },
  { name: 'an outage is expected to last as long again as it has lasted', isOutage: true, sinceMs: 2500, expected: 2500 },
  { name: 'the estimate is limited to the time that callers wait', isOutage: true, sinceMs: 60_000, expected: 4000 }
]

for (const { name, expected, ...inputs } of CASES) test(name, () => { assert.is(estimateReadyMs(inputs), expected) })

test.run()
