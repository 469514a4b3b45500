import { create } from '@bufbuild/protobuf'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { hashSha256 } from '../../base/node/digest.ts'
import { AnswerEventSchema, Execution } from '../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { AnswerEvent } from '../../generated/pepperwood/v1/pepperwood_pb.ts'
import { AnswerReader } from '../answerReader.ts'
import { rotateFirst } from '../pepperwoodClient.ts'
import { canResubmit } from '../resubmission.ts'

const test = suite('client')

function createChunk (index: number, text: string): AnswerEvent {
  return create(AnswerEventSchema, { event: { case: 'chunk', value: { index, text } } })
}

function createEnd (chunkCount: number, digest: string): AnswerEvent {
  return create(AnswerEventSchema, { event: { case: 'end', value: { chunkCount, digest } } })
}

const whole = [createChunk(0, 'a'), createChunk(1, 'b'), createEnd(2, hashSha256('ab'))]

/** Returns the state of the answer after the last event, and the text that was received. */
function readAll (events: readonly AnswerEvent[]): readonly [string, string] {
  let text = ''
  const reader = new AnswerReader('s/1', part => { text += part })
  let last = 'open'
  for (const event of events) {
    last = reader.accept(event).kind
    if (last !== 'open') break
  }
  return [last, text]
}

const streams: readonly (readonly [string, readonly AnswerEvent[], string])[] = [
  ['a whole answer', whole, 'whole'],
  ['an empty answer', [createEnd(0, hashSha256(''))], 'whole'],
  ['chunks received twice', [createChunk(0, 'a'), createChunk(0, 'a'), ...whole], 'whole'],
  ['a gap', [createChunk(0, 'a'), createChunk(2, 'c')], 'broken'],
  ['an end event with a higher chunk count', [createChunk(0, 'a'), createEnd(2, hashSha256('a'))], 'refused'],
  ['a digest that differs', [createChunk(0, 'a'), createChunk(1, 'x'), createEnd(2, hashSha256('ab'))], 'refused'],
  ['another request\'s answer', [create(AnswerEventSchema, { event: { case: 'accepted', value: { requestId: 's/2' } } }), ...whole], 'broken'],
  ['an event without content', [create(AnswerEventSchema)], 'broken'],
  ['no end', whole.slice(0, 2), 'open']
]

for (const [name, events, expected] of streams) {
  test(`${name}: ${expected}`, () => {
    const [kind, text] = readAll(events)
    assert.is(kind, expected)
    if (expected === 'whole' && events.length > 1) assert.is(text, 'ab')
  })
}

test('a refusal keeps its execution state', () => {
  const reader = new AnswerReader('s/1', () => {})
  const state = reader.accept(create(AnswerEventSchema, { event: { case: 'refusal', value: { code: 304, name: 'outcomeUnknown', execution: Execution.MAY_HAVE_RUN } } }))
  assert.is(state.kind === 'refused' && state.error.execution, 'mayHaveRun')
})

for (const [resultName, execution, isUnrepeatable, mayHaveRun, expected] of [
  ['overloaded', 'notRun', true, false, true],
  ['overloaded', 'notRun', true, true, false],
  ['outcomeUnknown', 'mayHaveRun', true, true, false],
  ['outcomeUnknown', 'mayHaveRun', false, true, true],
  ['stageFailed', 'incomplete', false, true, true],
  ['pipelineUnknown', 'notRun', false, false, false],
  ['deadlinePassed', 'mayHaveRun', false, true, false]
] as const) {
  test(`${resultName}, ${execution}, ${isUnrepeatable ? 'unrepeatable' : 'repeatable'}${mayHaveRun ? ', may have run' : ''}: ${expected ? 'resubmitted' : 'not resubmitted'}`, () => {
    assert.is(canResubmit({ error: { resultName, execution }, isUnrepeatable, mayHaveRun }), expected)
  })
}

test('requests rotate over the best gates, and the other gates stay behind them', () => {
  const turns = [0, 1, 2, 3].map(turn => rotateFirst(['a', 'b', 'c', 'd'], 3, turn).join(''))
  assert.equal(turns, ['abcd', 'bcad', 'cabd', 'abcd'])
  assert.equal(rotateFirst([], 3, 1), [])
})

test.run()
