/**
 * The platform's list of hosts: which live and which are leaving. It lags behind reality.
 */
import { Either as EffectEither, Schema } from 'effect'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'

const HostEntry = Schema.Struct({
  /** IP number and port. */
  address: Schema.String,
  hall: Schema.String,
  state: Schema.Literal('live', 'leaving'),
  /** Which boot at this address the entry speaks of; 0 means whichever is there. */
  boot: Schema.optionalWith(Schema.Number.pipe(Schema.int(), Schema.nonNegative()), { default: () => 0 }),
  /** An entry host of the system, with its steward at the address, or an upstream's host. */
  kind: Schema.Literal('entry', 'upstream')
})

const HostList = Schema.Struct({ hosts: Schema.Array(HostEntry) })

export type Host = typeof HostEntry.Type

/** Reads the list; a wrong one is refused whole. */
export function parseHostList (text: string): Either<PepperwoodError, readonly Host[]> {
  try {
    const decoded = Schema.decodeUnknownEither(HostList)(JSON.parse(text))
    if (EffectEither.isRight(decoded)) return Right(decoded.right.hosts)
    return Left(new PepperwoodError({ name: 'configurationInvalid', message: decoded.left.message, place: 'hosts' }))
  } catch {
    return Left(new PepperwoodError({ name: 'configurationUnreadable', message: 'expected JSON', place: 'hosts', value: text }))
  }
}
