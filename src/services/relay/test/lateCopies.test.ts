/**
 * Upstreams that send an earlier answer once more where the next answer on its connection is due.
 */
import type { Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { DisposableStore } from '../../../base/common/disposable.ts'
import { RouteKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { FakeUpstream, RelayHarness } from './fakes.ts'
import type { UpstreamScript } from './fakes.ts'

const test = suite('lateCopies')

interface CopyingUpstream {
  readonly upstream: FakeUpstream
  /** Number of requests that the upstream ran. */
  readonly countRuns: () => number
}

/** Answers the first request on each connection with `answer`. Sends this once more in reply to later ones, which it runs. */
function createCopyingUpstream (answer: string): CopyingUpstream {
  const answers = new WeakMap<Socket, string>()
  let runCount = 0
  const runRequest: UpstreamScript = (socket, head) => {
    const id = /^Id: (\S+)/im.exec(head)?.[1] ?? ''
    const earlier = answers.get(socket)
    if (earlier === undefined) {
      answers.set(socket, answer.replaceAll('ID', id))
      socket.write(answer.replaceAll('ID', id))
      return
    }
    runCount++
    socket.write(earlier)
    socket.write(`HTTP/1.1 200 OK\r\nId: ${id}\r\nContent-Length: 4\r\n\r\ndone`)
  }
  return { upstream: new FakeUpstream(runRequest), countRuns: () => runCount }
}

const REFUSALS: readonly (readonly [string, string])[] = [
  ['refusal', 'HTTP/1.1 503 Busy\r\nId: ID\r\nUnrun: full\r\nContent-Length: 0\r\n\r\n'],
  ['refusal without an id', 'HTTP/1.1 503 Busy\r\nUnrun: full\r\nContent-Length: 0\r\n\r\n'],
  ['report of missing inputs', 'HTTP/1.1 409 Conflict\r\nId: ID\r\nUnrun: input\r\nContent-Length: 0\r\n\r\n']
]

for (const [name, refusal] of REFUSALS) {
  for (const [kindName, kind] of [['repeatable', RouteKind.REPEATABLE], ['unrepeatable', RouteKind.UNREPEATABLE]] as const) {
    for (const maxAttempts of [1, 3]) {
      test(`a late copy of a ${name} refuses no ${kindName} request that runs, with ${maxAttempts} attempts`, async () => {
        const store = new DisposableStore()
        const { upstream, countRuns } = createCopyingUpstream(refusal)
        const harness = store.add(new RelayHarness({ upstreams: [upstream], route: { kind, maxAttempts } }))
        await harness.start()
        try {
          for (const call of ['first', 'second']) {
            const before = countRuns()
            const { text } = await harness.call('a')
            const runs = countRuns() - before
            assert.ok(runs <= maxAttempts, `${call} call: ${runs} runs in one call`)
            if (text.startsWith('HTTP/1.1 503')) assert.is(runs, 0, `${call} call: refused, and run`)
          }
        } finally {
          store.dispose()
        }
      })
    }
  }
}

test('a late copy of an error response does not answer a request that is sent again', async () => {
  const store = new DisposableStore()
  const { upstream, countRuns } = createCopyingUpstream('HTTP/1.1 500 Failed\r\nId: ID\r\nContent-Length: 4\r\n\r\nfail')
  const harness = store.add(new RelayHarness({ upstreams: [upstream] }))
  await harness.start()
  try {
    for (const call of ['first', 'second']) {
      const { text } = await harness.call('a')
      assert.ok(text.startsWith('HTTP/1.1 500') ? countRuns() === 0 : text.startsWith('HTTP/1.1 200'), `${call} call: ${text.slice(0, 20)}, ${countRuns()} runs`)
    }
  } finally {
    store.dispose()
  }
})

test.run()
