/**
 * Facts: what the system knows of its members, gates and upstreams. Each subject has one writer and a pair of
 * numbers that only grows, so that merging needs no agreement: the larger pair stands.
 */
import type { ConfigurationNumber } from '../../configuration/common/configurationNumber.ts'

/** A steward as others see it. The order of the states is their precedence within one incarnation. */
export type MemberState = 'alive' | 'suspect' | 'dead' | 'left'

export interface MemberFact {
  readonly kind: 'member'
  readonly address: string
  readonly hall: string
  readonly state: MemberState
  /** How much its host can do, in hundredths of a core; 0 where that is not known. */
  readonly weight: number
}

/** What a gate says of itself. */
export interface GateFact {
  readonly kind: 'gate'
  readonly address: string
  readonly hall: string
  readonly inFlight: number
  /** Requests taken in lately, fading: it follows the callers that use the gate now. */
  readonly recentRequests: number
  readonly draining: boolean
  readonly ready: boolean
  readonly configuration: ConfigurationNumber
}

/** What an upstream reported last. */
export interface LoadFact {
  readonly kind: 'load'
  readonly upstream: string
  readonly running: number
  readonly queued: number
  readonly capacity: number
  /** Models held, as `name` or `name@version`. */
  readonly models: readonly string[]
  /** The fencing number of the last order the upstream took. */
  readonly fencing: number
  /** Prefix keys cached lately, as far as the events tell. */
  readonly prefixes: readonly string[]
}

/** An upstream incarnation is leaving, for good. */
export interface LeavingFact {
  readonly kind: 'leaving'
  readonly upstream: string
  readonly signal: string
}

/** A run that its writer had at an upstream when that ended. */
export interface RunAtEnd {
  /** What the tries of one request have in common. */
  readonly digest: string
  readonly bodyBytes: number
  /** How long before the end it was sent, in milliseconds. */
  readonly sentBeforeMs: number
}

/** An upstream incarnation ended without having said so, with the writer's runs there; the fact is as old as the end. */
export interface EndedFact {
  readonly kind: 'ended'
  readonly upstream: string
  readonly runs: readonly RunAtEnd[]
}

/** Nothing is held against a request for ends before this. */
export interface ClearedFact {
  readonly kind: 'cleared'
  readonly digest: string
  /** An upstream has answered it; otherwise an operator says so. */
  readonly isServed?: boolean
}

/** What an operator said last of a hall. The counter is the source's revision of that word, whoever tells of it. */
export interface EvacuationFact {
  readonly kind: 'evacuation'
  readonly hall: string
  readonly isEvacuated: boolean
}

/** What an upstream stated last of the rate that it accepts, as its writer heard it; the fact is as old as the answer. */
export interface LimitFact {
  readonly kind: 'limit'
  readonly upstream: string
  /** Requests per second; missing where it accepts any number. */
  readonly perS?: number | undefined
}

export type FactValue = MemberFact | GateFact | LoadFact | LeavingFact | EndedFact | ClearedFact | EvacuationFact | LimitFact

export interface Fact {
  readonly subject: string
  /** The boot of what the fact is about. */
  readonly incarnation: number
  readonly counter: number
  readonly value: FactValue
  /** How old the fact was when it was sent, in milliseconds. */
  readonly ageMs: number
}

/** Positive when a goes before b. */
export function compareFacts (a: Pick<Fact, 'incarnation' | 'counter'>, b: Pick<Fact, 'incarnation' | 'counter'>): number {
  return a.incarnation - b.incarnation || a.counter - b.counter
}

export function formatMemberSubject (address: string): string {
  return `member/${address}`
}

export function formatGateSubject (address: string): string {
  return `gate/${address}`
}

export function formatLoadSubject (upstream: string): string {
  return `load/${upstream}`
}

export function formatLeavingSubject (upstream: string): string {
  return `leaving/${upstream}`
}

/** Each node writes its own: what several of them had at one upstream adds up. */
export function formatEndedSubject (upstream: string, node: string): string {
  return `ended/${upstream}/${node}`
}

export function formatEvacuationSubject (hall: string): string {
  return `evacuation/${hall}`
}

/** Each node writes its own: the latest answer that any of them heard stands. */
export function formatLimitSubject (upstream: string, node: string): string {
  return `limit/${upstream}/${node}`
}

export function formatClearedSubject (digest: string): string {
  return `cleared/${digest}`
}
