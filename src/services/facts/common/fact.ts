/**
 * Facts: the shared state about members, gates and upstreams. Each subject has one writer, and its pair of incarnation and
 * counter only grows. So facts merge without coordination: the one with the larger pair replaces the other.
 */
import type { ConfigurationNumber } from '../../configuration/common/configurationNumber.ts'

/** The state of a member as other members see it. The states are listed in ascending precedence within one incarnation. */
export type MemberState = 'alive' | 'suspect' | 'dead' | 'left'

export interface MemberFact {
  readonly kind: 'member'
  readonly address: string
  readonly hall: string
  readonly state: MemberState
  /** Processing capacity of its host, in hundredths of a core; 0 if unknown. */
  readonly weight: number
  /** The incarnation with which its process started, before any refuted suspicion; undefined from earlier versions. */
  readonly started?: number | undefined
}

/** State that a gate reports about itself. */
export interface GateFact {
  readonly kind: 'gate'
  readonly address: string
  readonly hall: string
  readonly inFlight: number
  /** Decaying count of accepted requests, so that it reflects the callers that currently use the gate. */
  readonly recentRequests: number
  readonly draining: boolean
  readonly ready: boolean
  readonly configuration: ConfigurationNumber
}

/** The latest load report of an upstream. */
export interface LoadFact {
  readonly kind: 'load'
  readonly upstream: string
  readonly running: number
  readonly queued: number
  readonly capacity: number
  /** Loaded models, as `name` or `name@version`. */
  readonly models: readonly string[]
  /** The fencing number of the last order that the upstream accepted. */
  readonly fencing: number
  /** Recently cached prefix keys, as far as they are known from the upstream's events. */
  readonly prefixes: readonly string[]
}

/** An upstream incarnation is leaving. This is final for the incarnation. */
export interface LeavingFact {
  readonly kind: 'leaving'
  readonly upstream: string
  readonly signal: string
}

/** A run that the fact's writer had in flight at an upstream when the upstream crashed. */
export interface InterruptedRun {
  /** The digest that all attempts of one request share. */
  readonly digest: string
  readonly bodyBytes: number
  /** Ids of the parts of its prompt that other requests may share; missing if there are none, or from earlier versions. */
  readonly parts?: readonly string[] | undefined
  /** Whether the upstream had just begun its answer; missing if not, or from earlier versions. */
  readonly isStarting?: boolean | undefined
  /** How long before the crash the run was sent, in milliseconds. */
  readonly sentBeforeMs: number
}

/** An upstream incarnation crashed, with the writer's runs in flight there. The age of the fact is the time since the crash. */
export interface EndedFact {
  readonly kind: 'ended'
  readonly upstream: string
  readonly runs: readonly InterruptedRun[]
}

/** Parts of a prompt that are reported for one run. */
export const MAX_REPORTED_PARTS = 32

/** Crashes of upstreams before this fact no longer count as evidence against a request, or against a part of prompts. */
export interface ClearedFact {
  readonly kind: 'cleared'
  /** The digest of the request, or the key of the part. */
  readonly digest: string
  /** True if an upstream has answered; otherwise an operator cleared it. */
  readonly isServed?: boolean
}

/** The latest operator command for a hall. The counter is the source's revision of the command, whichever process writes the fact. */
export interface EvacuationFact {
  readonly kind: 'evacuation'
  readonly hall: string
  readonly isEvacuated: boolean
}

/** The request rate that an upstream last stated to the writer. The age of the fact is the time since that answer. */
export interface LimitFact {
  readonly kind: 'limit'
  readonly upstream: string
  /** Requests per second; missing if the upstream accepts any rate. */
  readonly perS?: number | undefined
}

/** A brittle upstream refused a request of some node for want of room. */
export interface RefusalFact {
  readonly kind: 'refusal'
  readonly upstream: string
  /** Refusals in one second that the upstream tolerates, those of all nodes together. */
  readonly maxPerS: number
}

export type FactValue = MemberFact | GateFact | LoadFact | LeavingFact | EndedFact | ClearedFact | EvacuationFact | LimitFact | RefusalFact

export interface Fact {
  readonly subject: string
  /** The instance of what the fact is about; it grows with each start. */
  readonly incarnation: number
  readonly counter: number
  readonly value: FactValue
  /** Age of the fact when it was sent, in milliseconds. */
  readonly ageMs: number
}

/** Returns a positive number if a is newer than b, and 0 if they are the same. */
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

/** Each node writes its own fact, since the runs that several nodes had in flight at one upstream add up. */
export function formatEndedSubject (upstream: string, node: string): string {
  return `ended/${upstream}/${node}`
}

export function formatEvacuationSubject (hall: string): string {
  return `evacuation/${hall}`
}

/** Each node writes its own fact; the latest answer that any node received is used. */
export function formatLimitSubject (upstream: string, node: string): string {
  return `limit/${upstream}/${node}`
}

export function formatRefusalSubject (upstream: string): string {
  return `refusal/${upstream}`
}

export function formatClearedSubject (digest: string): string {
  return `cleared/${digest}`
}
