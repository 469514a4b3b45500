// Retries that were granted and never sent used up the budget of other requests, and the log named a retry before the
// budget was asked.
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { FakeUpstream, RelayHarness, answerWith } from './fakes.ts'

const test = suite('retryBudget')

async function runHarness (upstreams: readonly FakeUpstream[], run: (harness: RelayHarness) => Promise<void>): Promise<void> {
  const harness = new RelayHarness({ upstreams, retries: 1 })
  try {
    await harness.start()
    await run(harness)
  } finally {
    harness.dispose()
  }
}

const RESET = answerWith('', 'reset')

test('a retry that finds no upstream is given back to the budget', () => runHarness([], async harness => {
  for (const id of ['a', 'b', 'c']) {
    const upstream: FakeUpstream = new FakeUpstream(socket => {
      socket.resetAndDestroy()
      upstream.stop()
    })
    await harness.addUpstream(upstream)
    // Requests that differ are not quarantined together.
    await harness.submit(id, id)
  }
  const lost = harness.logLines.filter(line => line.includes('outcome=lost'))
  assert.is(lost.length, 3)
  for (const line of lost) assert.match(line, /next=retry budget=granted/)
}))

test('an attempt that the budget does not allow to be retried is logged as the last one', () => runHarness([RESET, RESET, RESET].map(script => new FakeUpstream(script)), async harness => {
  await harness.call('a')
  await harness.call('b')
  const ended = harness.logLines.filter(line => line.includes('event=attempt_ended'))
  assert.match(ended[0] ?? '', /request=a .*next=retry budget=granted retries_used=0 retries_allowed=1/)
  assert.match(ended.at(-1) ?? '', /request=b .*next=end budget=refused retries_used=0 retries_allowed=0\.1/)
}))

test.run()
