import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { BackoffTable, TRIAL_TIMEOUT_MS } from '../common/backoffTable.ts'

const test = suite('backoffTable')

const BACKOFF_MS = 3000

function createTableWithBackoff (): BackoffTable {
  const table = new BackoffTable()
  table.record('u', BACKOFF_MS, 0)
  return table
}

test('nothing is sent until a backoff ends, and other upstreams are not affected', () => {
  const table = createTableWithBackoff()
  assert.is(table.getWaitMs('u', 1000), 2000)
  assert.is(table.beginSend('u', BACKOFF_MS - 1), 'denied')
  assert.is(table.beginSend('v', 0), 'usual')
  assert.is(table.getWaitMs('u', BACKOFF_MS), 0)
})

test('after a backoff one trial request is sent, and the next ones once it was accepted', () => {
  const table = createTableWithBackoff()
  assert.is(table.beginSend('u', BACKOFF_MS), 'trial')
  assert.is(table.beginSend('u', BACKOFF_MS + 10), 'denied')
  assert.ok(table.recordSendResult('u', BACKOFF_MS, true))
  assert.is(table.beginSend('u', BACKOFF_MS + 20), 'usual')
  assert.is(table.beginSend('u', BACKOFF_MS + 20), 'usual')
})

test('a trial request that runs for long counts as accepted if it was not refused in time', () => {
  const table = createTableWithBackoff()
  table.beginSend('u', BACKOFF_MS)
  assert.is(table.getWaitMs('u', BACKOFF_MS + 50), TRIAL_TIMEOUT_MS - 50)
  assert.is(table.beginSend('u', BACKOFF_MS + TRIAL_TIMEOUT_MS), 'usual')
  assert.ok(table.isEmpty)
})

test('a trial request that is refused without a new backoff is followed by another trial', () => {
  const table = createTableWithBackoff()
  table.beginSend('u', BACKOFF_MS)
  assert.not(table.recordSendResult('u', BACKOFF_MS, false))
  assert.is(table.beginSend('u', BACKOFF_MS + 10), 'trial')
  assert.is(table.beginSend('u', BACKOFF_MS + 10), 'denied')
})

test('the result of a request that was sent before the backoff does not end it', () => {
  const table = createTableWithBackoff()
  assert.not(table.recordSendResult('u', BACKOFF_MS - 1, true))
  table.beginSend('u', BACKOFF_MS)
  assert.not(table.recordSendResult('u', -500, true))
  assert.is(table.beginSend('u', BACKOFF_MS + 10), 'denied')
})

test('the longer of two backoffs applies, whichever was requested first', () => {
  const table = createTableWithBackoff()
  table.record('u', 1000, 500)
  assert.is(table.getWaitMs('u', 500), 2500)
  table.record('u', 5000, 1000)
  assert.is(table.getWaitMs('u', 1000), 5000)
})

test('after a pause of this process each upstream gets a trial request', () => {
  const table = createTableWithBackoff()
  table.expireAll(100)
  assert.is(table.beginSend('u', 100), 'trial')
  assert.equal(table.list(100), [{ upstream: 'u', leftMs: 0, ageMs: 100, isOnTrial: true }])
})

test.run()
