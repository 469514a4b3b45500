/**
 * An upstream that lost power accepts no connection, and its entry stays for some seconds more. Nodes found that out one
 * by one, and the plan that chooses for all of them was never told: it went on choosing the dark upstream, and each
 * request spent 400 ms there before it went elsewhere.
 */
import { Right } from 'purify-ts'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { IPreparationService } from '../../preparation/common/preparationService.ts'
import type { TargetReport } from '../../preparation/common/targetPlanner.ts'
import { answerWith, FakeUpstream, RelayHarness } from './fakes.ts'

const test = suite('darkUpstream')

const WHOLE = 'HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nbody'

/** A plan that chooses one upstream, and hears how requests fared there. */
class FixedTarget implements IPreparationService {
  readonly reports: TargetReport[] = []

  constructor (private readonly _targetId: string) {}

  prepare () {
    return Promise.resolve(Right({
      handles: ['r'],
      bytes: 1,
      isReleased: false,
      targetId: this._targetId,
      prefixSourceId: '',
      hall: '',
      report: (report: TargetReport) => { this.reports.push(report) },
      release: () => {},
      prepareAgain: () => this.prepare()
    }))
  }
}

test('the plan is told of an upstream that accepts no connection, and the request goes elsewhere', async () => {
  const [dark, other] = [new FakeUpstream(answerWith(WHOLE)), new FakeUpstream(answerWith(WHOLE))]
  const preparation = new FixedTarget('u0')
  const harness = new RelayHarness({ upstreams: [dark, other], preparation, route: { stages: [{ role: 'p', after: [], resultBytes: 1 }] } })
  try {
    await harness.start()
    dark.end()
    assert.match((await harness.call('a', 'Pieces: 1\r\n')).text, /^HTTP\/1\.1 200 .*body$/s)
    assert.is(other.heads.length, 1)
    assert.equal(preparation.reports.map(({ outcome }) => outcome)[0], 'failed')
  } finally {
    harness.dispose()
  }
})

test.run()
