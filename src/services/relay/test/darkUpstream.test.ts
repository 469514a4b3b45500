/**
 * Guards against a planner that keeps choosing an upstream that lost power. Such an upstream accepts no connection, but
 * its entry stays listed for some seconds. Each node detected this separately and did not report it to the planner, so
 * each request spent the connect timeout of 400 ms there before it went to another upstream.
 */
import { Right } from 'purify-ts'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { IPreparationService } from '../../preparation/common/preparationService.ts'
import type { TargetReport } from '../../preparation/common/targetPlanner.ts'
import { answerWith, FakeUpstream, RelayHarness } from './fakes.ts'

const test = suite('darkUpstream')

const COMPLETE_ANSWER = 'HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nbody'

/** A planner that always chooses the same upstream, and records the reports about requests there. */
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

test('an upstream that accepts no connection is reported to the planner, and the request goes to another upstream', async () => {
  const [unreachable, other] = [new FakeUpstream(answerWith(COMPLETE_ANSWER)), new FakeUpstream(answerWith(COMPLETE_ANSWER))]
  const preparation = new FixedTarget('u0')
  const harness = new RelayHarness({ upstreams: [unreachable, other], preparation, route: { stages: [{ role: 'p', after: [], resultBytes: 1 }] } })
  try {
    await harness.start()
    unreachable.stop()
    assert.match((await harness.call('a', 'Pieces: 1\r\n')).text, /^HTTP\/1\.1 200 .*body$/s)
    assert.is(other.requestHeads.length, 1)
    assert.equal(preparation.reports.map(({ outcome }) => outcome)[0], 'failed')
  } finally {
    harness.dispose()
  }
})

test.run()
