/**
 * What upstreams say of themselves with their answers. An adapter reads it from any answer; each kind has one receiver.
 */

export type UpstreamStatement =
  /** Requests per second that it accepts from all callers together; a limit that was stated before ends without a number. */
  | { readonly kind: 'rate', readonly perS: number | undefined }
  /** It finishes what it has and takes nothing new; a boot does not take this back. */
  | { readonly kind: 'leaving' }
  /** It turned this node away, and wants nothing from it for so long. */
  | { readonly kind: 'backoff', readonly forMs: number }
  /** A value that means nothing; nothing changes by it. */
  | { readonly kind: 'invalid', readonly name: string, readonly value: string }

export type StatementKind = UpstreamStatement['kind']
type StatementOf<Kind extends StatementKind> = Extract<UpstreamStatement, { readonly kind: Kind }>

/** Statements that came with one answer, and the boot that made them. */
export interface StatedByUpstream {
  readonly upstream: string
  readonly statements: readonly UpstreamStatement[]
}

/** Who takes in each kind. A statement that nobody takes in does not compile. */
export type StatementReceivers = { readonly [Kind in StatementKind]: (upstream: string, statement: StatementOf<Kind>) => void }

/** Hands each statement to the receiver of its kind. */
export function dispatchStatements ({ upstream, statements }: StatedByUpstream, receivers: StatementReceivers): void {
  for (const statement of statements) dispatchStatement(upstream, statement, receivers)
}

function dispatchStatement<Kind extends StatementKind> (upstream: string, statement: StatementOf<Kind>, receivers: StatementReceivers): void {
  receivers[statement.kind as Kind](upstream, statement)
}
