/**
 * Compiles schemas to plain functions. Effect interprets a schema anew for each value, which costs most in a process that
 * decodes too few messages for its compiled code to pay off.
 */
import { Either as EffectEither, Option, Schema, SchemaAST } from 'effect'
import type { ParseResult } from 'effect'

/** Returns the decoded value, or UNDECIDED if the value is invalid or the function cannot tell. */
type Decode = (input: unknown) => unknown

export type SchemaDecoder<A> = (input: unknown) => EffectEither.Either<A, ParseResult.ParseError>

const UNDECIDED = Symbol('undecided')
const KIND = 'kind'

/**
 * Decodes like `Schema.decodeUnknownEither(schema)`. Only values that the compiled function does not accept reach Effect. Both
 * are created when they are first needed, since a process that starts has no use for most of them.
 */
export function createSchemaDecoder<A, I> (schema: Schema.Schema<A, I>): SchemaDecoder<A> {
  let decode: Decode | undefined
  let decodeByEffect: SchemaDecoder<A> | undefined
  return input => {
    decode ??= createDecode(schema.ast) ?? (() => UNDECIDED)
    const value = decode(input)
    if (value !== UNDECIDED) return EffectEither.right(value as A)
    decodeByEffect ??= Schema.decodeUnknownEither(schema)
    return decodeByEffect(input)
  }
}

/** Returns undefined for schemas that are not supported. */
function createDecode (ast: SchemaAST.AST): Decode | undefined {
  switch (ast._tag) {
    case 'StringKeyword': return input => typeof input === 'string' ? input : UNDECIDED
    case 'NumberKeyword': return input => typeof input === 'number' ? input : UNDECIDED
    case 'BooleanKeyword': return input => typeof input === 'boolean' ? input : UNDECIDED
    case 'UndefinedKeyword': return input => input === undefined ? input : UNDECIDED
    case 'Literal': return input => input === ast.literal ? input : UNDECIDED
    case 'Refinement': return createRefinementDecode(ast)
    case 'TupleType': return createArrayDecode(ast)
    case 'TypeLiteral': return createStructDecode(ast)
    case 'Union': return createUnionDecode(ast)
    case 'Transformation': return createDefaultsDecode(ast)
    default: return undefined
  }
}

function createRefinementDecode (ast: SchemaAST.Refinement): Decode | undefined {
  const decode = createDecode(ast.from)
  if (decode === undefined) return undefined
  return input => {
    const value = decode(input)
    return value === UNDECIDED || Option.isSome(ast.filter(value, SchemaAST.defaultParseOption, ast)) ? UNDECIDED : value
  }
}

function createArrayDecode ({ elements, rest }: SchemaAST.TupleType): Decode | undefined {
  const [item] = rest
  const decode = elements.length === 0 && rest.length === 1 && item !== undefined ? createDecode(item.type) : undefined
  if (decode === undefined) return undefined
  return input => {
    if (!Array.isArray(input)) return UNDECIDED
    const values: unknown[] = []
    for (let index = 0; index < input.length; index++) {
      const value = decode(input[index])
      if (value === UNDECIDED) return UNDECIDED
      values.push(value)
    }
    return values
  }
}

function isRecord (input: unknown): input is Readonly<Record<PropertyKey, unknown>> {
  return typeof input === 'object' && input !== null && !Array.isArray(input)
}

function createStructDecode ({ propertySignatures, indexSignatures }: SchemaAST.TypeLiteral): Decode | undefined {
  if (indexSignatures.length > 0 || propertySignatures.length === 0) return undefined
  const fields: { readonly name: PropertyKey, readonly isOptional: boolean, readonly decode: Decode }[] = []
  for (const { name, isOptional, type } of propertySignatures) {
    const decode = createDecode(type)
    if (decode === undefined) return undefined
    fields.push({ name, isOptional, decode })
  }
  return input => {
    if (!isRecord(input)) return UNDECIDED
    const output: Record<PropertyKey, unknown> = {}
    for (const { name, isOptional, decode } of fields) {
      if (Object.hasOwn(input, name)) {
        const value = decode(input[name])
        if (value === UNDECIDED) return UNDECIDED
        output[name] = value
      } else if (!isOptional) {
        return UNDECIDED
      }
    }
    return output
  }
}

/** Members are distinguished by their literal kinds, or tried in their order. */
function createUnionDecode ({ types }: SchemaAST.Union): Decode | undefined {
  const kinds = types.map(findKind)
  const decodes = types.flatMap(type => createDecode(type) ?? [])
  if (decodes.length < types.length) return undefined
  if (kinds.every(kind => kind !== undefined) && new Set(kinds).size === kinds.length) return createKindDecode(new Map(kinds.map((kind, index) => [kind, decodes[index]])))
  if (!isTriedInOrder(types)) return undefined
  return input => {
    for (const decode of decodes) {
      const value = decode(input)
      if (value !== UNDECIDED) return value
    }
    return UNDECIDED
  }
}

/** Effect tries structs with literal properties before the others, which matters if two of them accept a value. */
function isTriedInOrder (types: readonly SchemaAST.AST[]): boolean {
  const composedTypes = types.filter(type => !isPrimitive(type))
  return composedTypes.length <= 1 || composedTypes.every(type => type._tag === 'TypeLiteral' && type.propertySignatures.every(({ type: field }) => isPrimitive(field) && !hasLiteral(field)))
}

function isPrimitive (ast: SchemaAST.AST): boolean {
  return ast._tag === 'Refinement' ? isPrimitive(ast.from) : ast._tag === 'Literal' || ast._tag.endsWith('Keyword')
}

function hasLiteral (ast: SchemaAST.AST): boolean {
  return ast._tag === 'Refinement' ? hasLiteral(ast.from) : ast._tag === 'Literal'
}

function createKindDecode (decodes: ReadonlyMap<unknown, Decode | undefined>): Decode {
  return input => {
    const decode = isRecord(input) ? decodes.get(input[KIND]) : undefined
    return decode === undefined ? UNDECIDED : decode(input)
  }
}

function findKind (ast: SchemaAST.AST): unknown {
  if (ast._tag === 'Transformation') return findKind(ast.from)
  const type = ast._tag === 'TypeLiteral' ? ast.propertySignatures.find(({ name }) => name === KIND)?.type : undefined
  return type?._tag === 'Literal' ? type.literal : undefined
}

/** Structs with default values are transformations of their properties. */
function createDefaultsDecode ({ from, to, transformation }: SchemaAST.Transformation): Decode | undefined {
  const decode = createDecode(from)
  const decodeResult = createDecode(to)
  if (transformation._tag !== 'TypeLiteralTransformation' || decode === undefined || decodeResult === undefined) return undefined
  const changes = transformation.propertySignatureTransformations
  return input => {
    const value = decode(input)
    if (value === UNDECIDED) return UNDECIDED
    const output = value as Record<PropertyKey, unknown>
    for (const change of changes) {
      const result = change.decode(Object.hasOwn(output, change.from) ? Option.some(output[change.from]) : Option.none())
      // Deleting a property makes an object slower to use, so it is deleted only if it gets no new value.
      if (Option.isNone(result) || change.from !== change.to) delete output[change.from]
      if (Option.isSome(result)) output[change.to] = result.value
    }
    return decodeResult(output)
  }
}
