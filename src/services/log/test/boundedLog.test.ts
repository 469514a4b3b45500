import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { LineBudget } from '../common/lineBudget.ts'
import { BoundedStream } from '../node/boundedStream.ts'
import { LogService } from '../node/logger.ts'

const test = suite('boundedLog')

test('a frequent event is limited to its rate, and neither other events nor failures of the same name use its budget', () => {
  const clock = new VirtualClock()
  const budget = new LineBudget({ clock, linesPerSecond: 10, failureLinesPerSecond: 30 })
  let written = 0
  for (let index = 0; index < 1000; index++) if (budget.tryAcquire('often', false)) written++
  assert.is(written, 40)
  assert.ok(budget.tryAcquire('rare', false))
  assert.ok(budget.tryAcquire('often', true))
  assert.equal(budget.collectDroppedLines(), [{ event: 'often', count: 960 }])
  assert.equal(budget.collectDroppedLines(), [])
  clock.advance(1000)
  written = 0
  for (let index = 0; index < 100; index++) if (budget.tryAcquire('often', false)) written++
  assert.is(written, 10)
})

test('lines are dropped without blocking while the reader is behind, and their count is written once it catches up', () => {
  const sink = { writableLength: 0, lines: [] as string[], write (text: string) { sink.lines.push(text) } }
  const stream = new BoundedStream(sink, 100)
  stream.write('first\n')
  sink.writableLength = 99
  stream.write('second\n')
  stream.write('third\n')
  sink.writableLength = 0
  stream.write('fourth\n')
  assert.equal(sink.lines, ['first\n', 'event=lines_unread count=2\n', 'fourth\n'])
})

test('lines over the budget are not written', () => {
  const lines: string[] = []
  const budget = new LineBudget({ clock: new VirtualClock(), linesPerSecond: 1 })
  const log = new LogService({ program: 'test', stream: { write: line => lines.push(line) }, budget })
  for (let index = 0; index < 100; index++) log.info('often', { index })
  assert.is(lines.length, 4)
  log.warn('often', { index: 100 })
  assert.match(lines[4] ?? '', /level=warn program=test event=often index=100/)
})

test.run()
