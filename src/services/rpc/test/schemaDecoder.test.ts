import { Arbitrary, Either as EffectEither, Schema } from 'effect'
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { WireMessageSchema } from '../../facts/common/wireMessage.ts'
import { PreparationMessageSchema } from '../../preparation/common/preparationMessage.ts'
import { createSchemaDecoder } from '../common/schemaDecoder.ts'

const test = suite('schemaDecoder')
const RUNS = 2000
const Count = Schema.Number.pipe(Schema.int(), Schema.nonNegative())
const Name = Schema.String.pipe(Schema.minLength(1), Schema.maxLength(3))

const MessageSchema = Schema.Union(
  Schema.Struct({ kind: Schema.Literal('ping'), id: Count, target: Schema.optional(Name) }),
  Schema.Struct({ kind: Schema.Literal('defaults'), weight: Schema.optionalWith(Count, { default: () => 7 }), isOffer: Schema.optionalWith(Schema.Boolean, { default: () => false }) }),
  Schema.Struct({ kind: Schema.Literal('state'), state: Schema.Literal('alive', 'dead'), item: Schema.UndefinedOr(Schema.Struct({ key: Name })) }),
  Schema.Struct({ kind: Schema.Literal('results'), results: Schema.Array(Schema.Union(Schema.Struct({ session: Name }), Schema.Struct({ reason: Schema.String }))) }),
  Schema.Struct({ kind: Schema.Literal('list'), names: Schema.Array(Name).pipe(Schema.maxItems(2)), parts: Schema.Array(Schema.Struct({ share: Schema.Number.pipe(Schema.finite()), size: Schema.Number })) })
)

/** Values at the limits of the schema, so that about half of the messages are valid. */
const number = fc.constantFrom(0, 1, -1, 0.5, NaN, Infinity, -0, 2 ** 53, 7)
const name = fc.constantFrom('', 'a', 'abc', 'abcd')
const odd = fc.constantFrom<unknown>(undefined, null, true, 'x', 3, [], {}, new Date(0), new Map(), [undefined])

function createField (usual: fc.Arbitrary<unknown>): fc.Arbitrary<unknown> {
  return fc.oneof({ weight: 12, arbitrary: usual }, { weight: 1, arbitrary: odd })
}

const fields = {
  id: createField(number),
  target: createField(name),
  weight: createField(number),
  isOffer: createField(fc.boolean()),
  state: createField(fc.constantFrom('alive', 'dead', 'left')),
  item: createField(fc.option(fc.record({ key: name, extra: number }, { requiredKeys: [] }), { nil: undefined })),
  names: createField(fc.array(name, { maxLength: 3 })),
  results: createField(fc.array(createField(fc.record({ session: createField(name), reason: createField(name) }, { requiredKeys: [] })), { maxLength: 2 })),
  parts: createField(fc.array(createField(fc.record({ share: number, size: number }, { requiredKeys: ['share'] })), { maxLength: 2 })),
  extra: odd
}
const message = fc.record({ kind: createField(fc.constantFrom('ping', 'defaults', 'state', 'results', 'list', 'other')), ...fields }, { requiredKeys: [] })

/** Replaces the part of a value that the steps lead to. */
function replacePart (value: unknown, [step, ...steps]: readonly number[], replacement: unknown): unknown {
  const entries = typeof value === 'object' && value !== null ? Object.entries(value) : []
  const [key, part] = entries[(step ?? 0) % Math.max(1, entries.length)] ?? []
  if (step === undefined || key === undefined) return replacement
  const newPart = replacePart(part, steps, replacement)
  return Array.isArray(value) ? value.map((item, index) => index === Number(key) ? newPart : item) : { ...(value as object), [key]: newPart }
}

/** Messages of a schema, of which half have a part replaced by an odd value or one at a limit. */
function createMessages<A, I> (schema: Schema.Schema<A, I>): fc.Arbitrary<unknown> {
  const valid = Arbitrary.makeLazy(Schema.encodedBoundSchema(schema))(fc as never) as unknown as fc.Arbitrary<unknown>
  const replaced = fc.tuple(valid, fc.array(fc.nat(20), { minLength: 1, maxLength: 5 }), fc.oneof(odd, number, name)).map(([value, steps, part]) => replacePart(value, steps, part))
  return fc.oneof(valid, replaced)
}

const cases: readonly (readonly [string, Schema.Schema<unknown>, fc.Arbitrary<unknown>])[] = [
  ['a schema of all supported forms', MessageSchema as unknown as Schema.Schema<unknown>, fc.oneof({ weight: 20, arbitrary: message }, { weight: 1, arbitrary: odd })],
  ['messages between nodes', WireMessageSchema as unknown as Schema.Schema<unknown>, createMessages(WireMessageSchema)],
  ['messages of preparation', PreparationMessageSchema as unknown as Schema.Schema<unknown>, createMessages(PreparationMessageSchema)]
]

for (const [title, schema, inputs] of cases) {
  /** Guards against messages that are accepted, refused or changed differently from the schema that describes them. */
  test(`${title}: compiled schemas decode like Effect`, () => {
    const decode = createSchemaDecoder(schema)
    const decodeByEffect = Schema.decodeUnknownEither(schema)
    let acceptedCount = 0
    fc.assert(fc.property(inputs, input => {
      const expected = decodeByEffect(input)
      const actual = decode(input)
      if (EffectEither.isRight(expected)) acceptedCount++
      assert.is(EffectEither.isRight(actual), EffectEither.isRight(expected))
      if (EffectEither.isRight(actual) && EffectEither.isRight(expected)) assert.equal(actual.right, expected.right)
      if (EffectEither.isLeft(actual) && EffectEither.isLeft(expected)) assert.is(actual.left.message, expected.left.message)
    }), { numRuns: RUNS, seed: 1 })
    assert.ok(acceptedCount > RUNS / 20 && acceptedCount < RUNS, `${acceptedCount} of ${RUNS} messages were accepted`)
  })
}

/** Guards against unions whose composed members overlap and have literals: which one Effect selects is not reproduced. */
test('schemas that are not supported are left to Effect', () => {
  const OverlappingSchema = Schema.Union(Schema.Struct({ a: Schema.Number }), Schema.Struct({ a: Schema.Literal(1), b: Schema.Number }))
  for (const schema of [OverlappingSchema, Schema.Struct({ at: Schema.DateFromString }), Schema.Record({ key: Schema.String, value: Schema.Number })]) {
    const decode = createSchemaDecoder(schema as Schema.Schema<unknown>)
    const decodeByEffect = Schema.decodeUnknownEither(schema as Schema.Schema<unknown>)
    for (const input of [{ a: 1 }, { a: 1, b: 2 }, { at: '2026-01-01' }, { a: 'x' }, 3]) assert.equal(decode(input), decodeByEffect(input))
  }
})

test.run()
