import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { KEEP_EVIDENCE_MS, QuarantineBook } from '../common/quarantineBook.ts'

const test = suite('quarantineBook')

function createBook (ends: number, digest = 'g', book = new QuarantineBook()): QuarantineBook {
  for (let index = 0; index < ends; index++) book.add({ digest, bodyBytes: 9, upstream: `${digest}${index}`, sentAt: index * 100, endedAt: index * 100 + 50 })
  return book
}

test('a body of another length is not even digested', () => {
  assert.not(new QuarantineBook().holdsSize(9))
  assert.ok(createBook(1).holdsSize(9))
  assert.not(createBook(1).holdsSize(8))
})

test('the same end counts once, whoever tells of it', () => {
  const book = createBook(3)
  createBook(3, 'g', book)
  assert.is(book.judge('g').ends, 3)
  assert.ok(book.judge('g').isQuarantined)
})

test('what is taken back is as if it had not been; later ends count', () => {
  const book = createBook(3)
  book.clear('g', 200)
  assert.is(book.judge('g').ends, 1)
  // A peer that had not heard of it tells the old ends again.
  createBook(2, 'g', book)
  assert.is(book.judge('g').ends, 1)
  // It may be heard of before what it takes back.
  book.clear('other', 200)
  assert.is(createBook(3, 'other', book).judge('other').ends, 1)
})

test('evidence is forgotten some time after the last end', () => {
  const book = createBook(3)
  book.expire(KEEP_EVIDENCE_MS)
  assert.ok(book.judge('g').isQuarantined)
  book.expire(KEEP_EVIDENCE_MS + 300)
  assert.ok(book.isEmpty)
})

test('a flood of requests under which one upstream each ended does not push out one that is quarantined', () => {
  const book = createBook(3)
  for (let index = 0; index < 5000; index++) createBook(1, `flood${index}-`, book)
  assert.ok(book.judge('g').isQuarantined)
  assert.equal(book.listQuarantined().map(request => request.digest), ['g'])
  assert.is(book.judge('flood0-').ends, 0)
})

test.run()
