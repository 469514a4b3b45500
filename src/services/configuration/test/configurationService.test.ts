import { create, toJsonString } from '@bufbuild/protobuf'
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { ConfigurationSchema, UpstreamKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import { checkDocument } from '../common/configurationDocument.ts'
import { compareConfigurationStamps } from '../common/configurationNumber.ts'
import { ConfigurationService } from '../common/configurationService.ts'

const SEED = 20261204
const test = suite('configurationService')

function createText (epoch: number, version: number, customer = 'c', placements: readonly { readonly role: string, readonly model: string }[] = []): string {
  return toJsonString(ConfigurationSchema, create(ConfigurationSchema, {
    epoch,
    version,
    customers: [{ name: customer, keySha256: '0'.repeat(64) }],
    upstreams: [{ name: 'u', kind: UpstreamKind.SERVICE, role: 'r', address: '127.0.0.1:1', hall: 'h' }],
    placements: [...placements],
    pipelines: [{ name: 'p', deadlineMs: 100, stages: [{ name: 's', role: 'r' }] }]
  }))
}

function createUnreadableError (): PepperwoodError {
  return new PepperwoodError({ name: 'configurationUnreadable', message: 'expected JSON', place: 'document' })
}

function createService (): ConfigurationService {
  return new ConfigurationService(new VirtualClock())
}

test('a higher document is accepted, and a lower one has no effect', () => {
  const service = createService()
  assert.ok(service.offer({ text: createText(1, 5), revision: 1 }, 'platform').isRight())
  const refused = service.offer({ text: createText(1, 4), revision: 9 }, 'peer').swap().unsafeCoerce()
  assert.is(refused.code, 113)
  assert.equal(service.number, { epoch: 1, version: 5 })
  assert.ok(service.offer({ text: createText(2, 1), revision: 2 }, 'peer').isRight())
})

const invalid: readonly (readonly [string, string, string])[] = [
  ['not JSON', '{', 'document'],
  ['an unknown key', '{"epoch":1,"version":1,"nonsense":1}', 'document'],
  ['no version', createText(1, 1).replace('"version":1,', ''), 'version'],
  ['a version that is too high', createText(1, 2 ** 28), 'version'],
  ['an epoch that is too high for orders', createText(2 ** 13, 1, 'c', [{ role: 'r', model: 'm' }]), 'epoch'],
  ['an epoch with more than 32 bits', createText(1, 1).replace('"epoch":1', `"epoch":${2 ** 32}`), 'pepperwood.v1.Configuration.epoch'],
  ['no epoch', createText(1, 1).replace('"epoch":1,', ''), 'epoch'],
  ['an unknown role', createText(1, 1).replace('"role":"r"', '"role":"x"'), 'pipelines[0].stages[0].role'],
  ['a host name', createText(1, 1).replace('127.0.0.1:1', 'localhost:1'), 'upstreams[0].address'],
  ['a key that is no digest', createText(1, 1).replace('0'.repeat(64), 'secret'), 'customers[0].keySha256'],
  ['a bad name', createText(1, 1, 'Bad Name'), 'customers[0].name']
]

for (const [name, text, place] of invalid) {
  test(`${name}: refused with its place, and the configuration stays unchanged`, () => {
    const service = createService()
    service.offer({ text: createText(1, 1), revision: 1 }, 'platform')
    const error = service.offer({ text, revision: 2 }, 'platform').swap().unsafeCoerce()
    assert.ok([111, 112].includes(error.code), String(error))
    assert.is(error.place, place)
    assert.is(checkDocument(text)[0]?.code, error.code)
    assert.equal(service.number, { epoch: 1, version: 1 })
  })
}

// Guards against a valid document that no process puts into force because of a limit on its length.
test('a document of any length is accepted', () => {
  const service = createService()
  const customers = Array.from({ length: 100_000 }, (_, index) => ({ name: `c${index}`, keySha256: '0'.repeat(64) }))
  const text = JSON.stringify({ ...JSON.parse(createText(1, 9)) as object, customers })
  assert.ok(text.length > 8e6)
  assert.ok(service.offer({ text, revision: 3 }, 'platform').isRight())
})

test('a refused document is reported until a later one is in force', () => {
  const service = createService()
  service.offer({ text: createText(1, 1), revision: 1 }, 'platform')
  service.offer({ text: '{', revision: 5 }, 'platform')
  assert.is(service.refused?.revision, 5)
  service.recordRefusal(4, createUnreadableError())
  assert.is(service.refused?.revision, 5)
  service.offer({ text: createText(1, 2), revision: 2 }, 'peer')
  assert.is(service.refused?.revision, 5)
  service.offer({ text: createText(1, 3), revision: 6 }, 'platform')
  assert.is(service.refused, undefined)
  service.recordRefusal(6, createUnreadableError())
  assert.is(service.refused, undefined)
})

test('in any order of documents, the configuration in force never reverts and all processes converge', () => {
  const document = fc.record({ epoch: fc.integer({ min: 1, max: 2 }), version: fc.integer({ min: 1, max: 4 }), customer: fc.constantFrom('a', 'b'), revision: fc.integer({ min: 1, max: 3 }) })
  fc.assert(fc.property(fc.array(document, { minLength: 1, maxLength: 12 }), fc.infiniteStream(fc.nat()), (documents, draws) => {
    const texts = documents.map(item => ({ text: createText(item.epoch, item.version, item.customer), revision: item.revision }))
    const inOrder = createService()
    const shuffled = createService()
    for (const text of texts) {
      const before = inOrder.current
      inOrder.offer(text, 'x')
      if (before !== undefined && inOrder.current !== undefined) assert.ok(compareConfigurationStamps(inOrder.current, before) >= 0)
    }
    const left = [...texts]
    while (left.length > 0) for (const text of left.splice((draws.next().value ?? 0) % left.length, 1)) shuffled.offer(text, 'y')
    assert.is(shuffled.current?.text, inOrder.current?.text)
  }), { seed: SEED, numRuns: 600 })
})

test.run()
