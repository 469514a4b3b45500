import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { BatchingEngine } from '../batchingEngine.ts'
import type { GenerationRequest } from '../batchingEngine.ts'
import { computeToken } from '../modelAnswers.ts'
import type { StandinUpstreamSettings } from '../standinSettings.ts'

const test = suite('batchingEngine')
const settings: StandinUpstreamSettings = { name: 'e', kind: 'engine', role: 'generate', listen: '127.0.0.1:1', capacity: 4, max_queue: 2, base_ms: 1, per_sequence_ms: 0, prefill_ms: 2, cache_size: 2, models: [], checks_fencing: true, load_ms: 1, report_lag_ms: 0 }
const request: GenerationRequest = { attempt: 'a', role: 'generate', input: 'tokens=12', previous: '', prefixKey: 'k', priority: 1, offset: 0 }
const expected = Array.from({ length: 12 }, (_, index) => computeToken('generate', request.input, '', index))

/** Collects tokens; `done` resolves at the end of the generation or after `count` tokens. */
function collect (tokens: string[], count = Infinity) {
  let finish = () => {}
  const done = new Promise<void>(resolve => { finish = resolve })
  return { done, listener: { onToken: (index: number, text: string) => { tokens[index] = text; if (index + 1 >= count) finish() }, onEnd: () => finish() } }
}

test('a generation exported to another engine continues at the same token', async () => {
  const [first, second] = [new BatchingEngine(settings), new BatchingEngine(settings)]
  const tokens: string[] = []
  const before = collect(tokens, 5)
  first.start(request, before.listener)
  await before.done
  const state = first.exportState('a')
  if (state === undefined) throw new Error('no state')
  assert.is(state.needsPrefill, false)
  assert.is(first.exportState('a'), undefined)
  const after = collect(tokens)
  assert.is(second.importState(state, after.listener).remainingPrefillMs, 0)
  await after.done
  assert.equal(tokens, expected)
})

test('a listener that is attached again receives the tokens it missed and those that follow', async () => {
  const engine = new BatchingEngine(settings)
  const tokens: string[] = []
  const before = collect(tokens, 3)
  const generation = engine.start(request, before.listener)
  await before.done
  engine.detach(generation)
  const after = collect(tokens)
  engine.attach(generation, 3, after.listener)
  await after.done
  assert.equal(tokens, expected)
})

test('a cached prefix saves prefill, and the least recently used prefix is evicted', () => {
  const engine = new BatchingEngine(settings)
  const start = (attempt: string, prefixKey: string) => engine.start({ ...request, attempt, prefixKey }, collect([]).listener).cachedTokens
  assert.is(start('1', 'x'), 0)
  assert.ok(start('2', 'x') > 0)
  start('3', 'y')
  start('4', 'z')
  assert.is(start('5', 'x'), 0)
  engine.clear()
})

test.run()
