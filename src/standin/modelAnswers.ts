/**
 * The answers of the stand-ins: a pure function of the input, so that a test or an experiment can distinguish a correct
 * answer from one that is truncated, duplicated or belongs to another request.
 */
import { hashText } from '../base/common/rendezvous.ts'
import { UpstreamKind } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import type { Configuration, Pipeline } from '../generated/pepperwood/v1/pepperwood_pb.ts'

const LENGTH_PATTERN = /\btokens=(\d{1,5})\b/
const DEFAULT_TOKEN_COUNT = 16
const MAX_TOKEN_COUNT = 4000

/** Reads the requested answer length from `tokens=N` in the input. */
export function readTokenCount (input: string): number {
  const match = LENGTH_PATTERN.exec(input)
  return match === null ? DEFAULT_TOKEN_COUNT : Math.min(MAX_TOKEN_COUNT, Number(match[1]))
}

/** Reads the identifier that the caller put into the input as `id=…`; empty if there is none. */
export function readMarker (input: string): string {
  return /\bid=(\S+)/.exec(input)?.[1] ?? ''
}

/** Computes one token of the answer. The result is the same on every engine, so another engine can continue a generation. */
export function computeToken (role: string, input: string, previous: string, index: number): string {
  return `t${(hashText(`${role}|${hashText(input)}|${hashText(previous)}|${index}`) % 100000).toString(36)} `
}

/** Computes the answer of an upstream that is not an engine. */
export function computeServiceOutput (role: string, input: string, previous: string): string {
  return `${role}:${hashText(`${role}|${input}|${previous}`).toString(36)}`
}

function computeStageOutput (kind: UpstreamKind, role: string, input: string, previous: string): string {
  if (kind !== UpstreamKind.ENGINE) return computeServiceOutput(role, input, previous)
  const tokens: string[] = []
  for (let index = 0; index < readTokenCount(input); index++) tokens.push(computeToken(role, input, previous, index))
  return tokens.join('')
}

/** Computes the complete answer that a pipeline must return for an input. */
export function computeExpectedAnswer (configuration: Configuration, pipeline: Pipeline, input: string): string {
  let previous = ''
  for (const stage of pipeline.stages) {
    const kind = configuration.upstreams.find(upstream => upstream.role === stage.role)?.kind ?? UpstreamKind.SERVICE
    previous = computeStageOutput(kind, stage.role, input, previous)
  }
  return previous
}
