import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { decideAdmission } from '../common/jobForecast.ts'
import { createJob, createStage, WORK } from './fakes.ts'

const test = suite('jobForecast')

/** One call at a time of up to 4 pieces: a piece costs 35 ms, and 8 s of patience allow for 4.8 s. */
function ask (piecesAhead: number) {
  return decideAdmission({
    job: createJob('a', [createStage('p', 1)]),
    capacities: new Map([['p', { work: WORK, calls: 1 }]]),
    piecesAhead: new Map([['p', piecesAhead]])
  })
}

test('what can be done in the caller\'s patience is taken', () => {
  assert.is(ask(0), undefined)
  assert.is(ask(130), undefined)
})

test('a caller that would wait too long comes back when half of what waits is done', () => {
  assert.equal(ask(140), { reason: 'overloaded', retryAfterMs: 2450 })
})

test('far beyond that it comes back when the excess is done', () => {
  assert.equal(ask(400), { reason: 'overloaded', retryAfterMs: 9310 })
})

test('without an upstream that makes its pieces a job is refused', () => {
  assert.is(decideAdmission({ job: createJob('a', [createStage('p', 1)]), capacities: new Map(), piecesAhead: new Map() })?.reason, 'noUpstream')
})

test.run()
