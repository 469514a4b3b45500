/**
 * A caller's HTTP request as the relay sees it, with the names of the wire taken off.
 */
import type { SharedPrefix } from '../../preparation/common/prefixBook.ts'

/** A header that is passed on as it is. */
export interface HeaderField {
  readonly name: string
  readonly value: string
}

/** A part of a prompt; requests that begin with the same parts can share what an upstream keeps of them. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** What is known of a generation before it runs. */
export interface PromptShape {
  readonly model: string
  readonly inputTokens: number
  readonly maxOutputTokens: number
  /** In order; the last one belongs to the request itself. */
  readonly parts: readonly PromptPart[]
}

/** How much preparation a request needs. */
export interface PreparationNeed {
  /** Pieces for each stage of the route; 0 leaves the stage out. */
  readonly pieceCounts: readonly number[]
  /** What the first stages work on. */
  readonly key: string
}

export interface RelayRequest {
  /** Given by the caller, another one for each try. */
  readonly id: string
  readonly method: string
  /** Path and query, as sent. */
  readonly target: string
  readonly host: string
  readonly key: string | undefined
  /** How long the caller waits, counted from when the request came in. */
  readonly timeLeftMs: number | undefined
  readonly prompt: PromptShape | undefined
  readonly preparation: PreparationNeed | undefined
  /** The last event of the stream that the caller has. */
  readonly lastEventId: string | undefined
  readonly headers: readonly HeaderField[]
}

/** The path of a target, without its query. */
export function getPath (target: string): string {
  const end = target.indexOf('?')
  return end < 0 ? target : target.slice(0, end)
}

/** Beginnings of the prompt that other requests can have too, the shortest first. */
export function listSharedPrefixes (prompt: PromptShape): readonly SharedPrefix[] {
  return prompt.parts.slice(0, -1).map((_, index, shared) => {
    const parts = shared.slice(0, index + 1)
    return { key: parts.map(part => part.id).join('/'), tokens: parts.reduce((sum, part) => sum + part.tokens, 0) }
  })
}
