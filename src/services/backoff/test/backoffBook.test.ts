import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { BackoffBook, TRIAL_MS } from '../common/backoffBook.ts'

const test = suite('backoffBook')

const FOR_MS = 3000

function createPaused (): BackoffBook {
  const book = new BackoffBook()
  book.note('u', FOR_MS, 0)
  return book
}

test('nothing is sent until the end of a pause, and other upstreams get all', () => {
  const book = createPaused()
  assert.is(book.getWaitMs('u', 1000), 2000)
  assert.is(book.beginSend('u', FOR_MS - 1), 'denied')
  assert.is(book.beginSend('v', 0), 'usual')
  assert.is(book.getWaitMs('u', FOR_MS), 0)
})

test('after a pause one request goes first, and the next once it was taken', () => {
  const book = createPaused()
  assert.is(book.beginSend('u', FOR_MS), 'trial')
  assert.is(book.beginSend('u', FOR_MS + 10), 'denied')
  assert.ok(book.settleSend('u', FOR_MS, true))
  assert.is(book.beginSend('u', FOR_MS + 20), 'usual')
  assert.is(book.beginSend('u', FOR_MS + 20), 'usual')
})

test('a request that works for long counts as taken once it was not turned away', () => {
  const book = createPaused()
  book.beginSend('u', FOR_MS)
  assert.is(book.getWaitMs('u', FOR_MS + 50), TRIAL_MS - 50)
  assert.is(book.beginSend('u', FOR_MS + TRIAL_MS), 'usual')
  assert.ok(book.isEmpty)
})

test('a first request that is turned away without a new pause is followed by one more', () => {
  const book = createPaused()
  book.beginSend('u', FOR_MS)
  assert.not(book.settleSend('u', FOR_MS, false))
  assert.is(book.beginSend('u', FOR_MS + 10), 'trial')
  assert.is(book.beginSend('u', FOR_MS + 10), 'denied')
})

test('what was sent before the pause says nothing of its end', () => {
  const book = createPaused()
  assert.not(book.settleSend('u', FOR_MS - 1, true))
  book.beginSend('u', FOR_MS)
  assert.not(book.settleSend('u', -500, true))
  assert.is(book.beginSend('u', FOR_MS + 10), 'denied')
})

test('a longer pause takes the place of a shorter one, whichever was asked for first', () => {
  const book = createPaused()
  book.note('u', 1000, 500)
  assert.is(book.getWaitMs('u', 500), 2500)
  book.note('u', 5000, 1000)
  assert.is(book.getWaitMs('u', 1000), 5000)
})

test('after a pause of this process each may be tried', () => {
  const book = createPaused()
  book.expire(100)
  assert.is(book.beginSend('u', 100), 'trial')
  assert.equal(book.list(100), [{ upstream: 'u', leftMs: 0, ageMs: 100, isOnTrial: true }])
})

test.run()
