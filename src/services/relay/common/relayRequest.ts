/**
 * A caller's HTTP request in a form that does not depend on the header names of the callers' protocol.
 */
/** A header that is forwarded unchanged. */
export interface HeaderField {
  readonly name: string
  readonly value: string
}

/** A part of a prompt; requests that begin with the same parts can share an upstream's prefix cache. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** Size and structure of a generation request, known before it runs. */
export interface PromptShape {
  readonly model: string
  readonly inputTokens: number
  readonly maxOutputTokens: number
  /** In order; the last part is specific to the request and not shared. */
  readonly parts: readonly PromptPart[]
}

/** The preparation that a request needs. */
export interface PreparationNeed {
  /** Number of pieces for each stage of the route; 0 skips the stage. Undefined if the caller's statement is not a list of numbers. */
  readonly pieceCounts: readonly number[] | undefined
  /** Identifies the input of the first stages. */
  readonly key: string
}

export interface RelayRequest {
  /** Assigned by the caller, with a new id for each try. */
  readonly id: string
  readonly method: string
  /** Path and query, as sent. */
  readonly target: string
  readonly host: string
  readonly key: string | undefined
  /** How long the caller waits, counted from the arrival of the request; undefined if it states no limit. */
  readonly timeLeftMs: number | undefined
  readonly prompt: PromptShape | undefined
  readonly preparation: PreparationNeed | undefined
  /** Id of the last stream event that the caller has received, from which the stream is resumed. */
  readonly lastEventId: string | undefined
  readonly headers: readonly HeaderField[]
}

/** Returns the path of a request target, without its query. */
export function getPath (target: string): string {
  const end = target.indexOf('?')
  return end < 0 ? target : target.slice(0, end)
}
