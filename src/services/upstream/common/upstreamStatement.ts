/**
 * Statements about its own state that an upstream sends with its answers. Adapters read them from any answer; each kind has one
 * receiver.
 */
import type { StatedLoad } from './statedLoad.ts'

export type UpstreamStatement =
  /** Requests per second that the upstream accepts from all callers together; undefined removes a limit stated earlier. */
  | { readonly kind: 'rate', readonly perS: number | undefined }
  /** The upstream completes its current calls and accepts no new ones. Final for this instance. */
  | { readonly kind: 'leaving' }
  /** The upstream refused a request of this node and asks it to send nothing for this time. */
  | { readonly kind: 'backoff', readonly forMs: number }
  /** The upstream refused a request of this node, and fails if it has to refuse more than this in a second from all nodes. */
  | { readonly kind: 'brittleRefusal', readonly maxPerS: number }
  /** The upstream's load when it answered; a hint for this node's choices. */
  | { readonly kind: 'load', readonly load: StatedLoad }
  /** A load that cannot be read; it has no effect. Apart from other invalid statements, because nearly every answer may have one. */
  | { readonly kind: 'invalidLoad', readonly name: string, readonly value: string }
  /** A statement with an invalid value; it has no effect. */
  | { readonly kind: 'invalid', readonly name: string, readonly value: string }

export type StatementKind = UpstreamStatement['kind']
type StatementOf<Kind extends StatementKind> = Extract<UpstreamStatement, { readonly kind: Kind }>

/** The statements of one answer, and the id of the upstream instance that sent it. */
export interface StatementBatch {
  readonly upstream: string
  readonly statements: readonly UpstreamStatement[]
}

/** The receiver of each kind. A kind without a receiver is a compile error. */
export type StatementReceivers = { readonly [Kind in StatementKind]: (upstream: string, statement: StatementOf<Kind>) => void }

/** Calls the receiver of its kind for each statement. */
export function dispatchStatements ({ upstream, statements }: StatementBatch, receivers: StatementReceivers): void {
  for (const statement of statements) dispatchStatement(upstream, statement, receivers)
}

function dispatchStatement<Kind extends StatementKind> (upstream: string, statement: StatementOf<Kind>, receivers: StatementReceivers): void {
  receivers[statement.kind as Kind](upstream, statement)
}
