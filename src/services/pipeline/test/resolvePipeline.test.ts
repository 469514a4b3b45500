import { create } from '@bufbuild/protobuf'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ConfigurationSchema, UpstreamKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { listRepeatablePipelines, resolvePipeline } from '../common/resolvePipeline.ts'

const test = suite('resolvePipeline')
const configuration = create(ConfigurationSchema, {
  upstreams: [
    { name: 'e', kind: UpstreamKind.SERVICE, role: 'encode', mayCallTwice: true },
    { name: 'g', kind: UpstreamKind.ENGINE, role: 'generate' },
    { name: 'l0', kind: UpstreamKind.SERVICE, role: 'ledger', mayCallTwice: true },
    { name: 'l1', kind: UpstreamKind.SERVICE, role: 'ledger' }
  ],
  pipelines: [
    { name: 'plain', stages: [{ name: 'a', role: 'encode' }, { name: 'b', role: 'generate' }] },
    { name: 'marked', stages: [{ name: 'a', role: 'encode', unrepeatable: true }] },
    { name: 'booked', stages: [{ name: 'a', role: 'encode' }, { name: 'b', role: 'ledger' }] }
  ]
})

for (const [name, expected] of [['plain', [false, false]], ['marked', [true]], ['booked', [false, true]]] as const) {
  test(`stages that must run at most once are resolved: ${name}`, () => {
    assert.equal(resolvePipeline(configuration, name)?.stages.map(stage => stage.unrepeatable), expected)
  })
}

test('only pipelines without unrepeatable stages are repeatable, and the configuration is not modified', () => {
  assert.equal(listRepeatablePipelines(configuration), ['plain'])
  assert.is(configuration.pipelines[2]?.stages[1]?.unrepeatable, false)
  assert.is(resolvePipeline(configuration, 'none'), undefined)
})

test.run()
