/**
 * The platform's list of hosts, with those that are live and those that are leaving. It lags behind the actual state.
 */
import { Either as EffectEither, Schema } from 'effect'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'

const HostEntry = Schema.Struct({
  /** IP address and port. */
  address: Schema.String,
  hall: Schema.String,
  state: Schema.Literal('live', 'leaving'),
  /** The process instance at this address that the entry refers to; 0 means any instance. */
  boot: Schema.optionalWith(Schema.Number.pipe(Schema.int(), Schema.nonNegative()), { default: () => 0 }),
  /** An entry host of the system, whose steward is at the address, or an upstream's host. */
  kind: Schema.Literal('entry', 'upstream')
})

const HostList = Schema.Struct({ hosts: Schema.Array(HostEntry) })

export type Host = typeof HostEntry.Type

/** Parses the list; a list with any invalid entry is refused as a whole. */
export function parseHostList (text: string): Either<PepperwoodError, readonly Host[]> {
  try {
    const decoded = Schema.decodeUnknownEither(HostList)(JSON.parse(text))
    if (EffectEither.isRight(decoded)) return Right(decoded.right.hosts)
    return Left(new PepperwoodError({ name: 'configurationInvalid', message: decoded.left.message, place: 'hosts' }))
  } catch {
    return Left(new PepperwoodError({ name: 'configurationUnreadable', message: 'expected JSON', place: 'hosts', value: text }))
  }
}
