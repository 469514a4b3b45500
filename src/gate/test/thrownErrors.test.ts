// Guards against a run that nobody finishes because its processing has thrown: its callers would wait for it until they give up.
import { create } from '@bufbuild/protobuf'
import { Right } from 'purify-ts'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SubmitRequestSchema } from '../../generated/pepperwood/v1/pepperwood_pb.ts'
import { createHarness } from '../../services/pipeline/test/fakes.ts'
import { RequestRun } from '../../services/session/common/requestRun.ts'
import { GateRequests } from '../gateRequests.ts'
import type { GateRequestsOptions } from '../gateRequests.ts'

const test = suite('thrownErrors of gates')

function fail (): never {
  throw new Error('defect')
}

for (const thrower of ['onWillProcessRequest', 'isReady', 'waitForConfiguration'] as const) {
  test(`a run is finished and reported as not run if ${thrower} throws`, async () => {
    const { decisions } = createHarness([{ role: 'encode' }])
    const run = new RequestRun({ requestId: 'r', customer: 'c', contentDigest: '', isUnrepeatable: false, startedAt: 0 })
    const ended: RequestRun[] = []
    const options: Partial<GateRequestsOptions> = {
      address: '',
      incarnation: '',
      configuration: { number: { epoch: 1, version: 1 } } as GateRequestsOptions['configuration'],
      sessions: { submit: () => Right({ kind: 'run', run }), retain: () => {} } as unknown as GateRequestsOptions['sessions'],
      decisions,
      isReady: () => true,
      isDraining: () => false,
      onWillProcessRequest: () => {},
      onDidFinishRequest: (_pipeline, finished) => ended.push(finished),
      [thrower]: fail
    }
    const requests = new GateRequests(options as GateRequestsOptions)
    requests.submit(create(SubmitRequestSchema, { seenConfiguration: { epoch: 2, version: 1 } }))
    await new Promise(resolve => { setImmediate(resolve) })
    assert.is(run.outcome?.kind === 'refused' && run.outcome.error.resultName, 'internal')
    assert.is(run.outcome?.kind === 'refused' && run.outcome.execution, 'notRun')
    assert.equal(ended, [run])
    assert.is(decisions.find('r').at(-1)?.reason, 'defect')
  })
}

test.run()
