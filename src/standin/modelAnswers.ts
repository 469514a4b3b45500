/**
 * What the stand-ins answer: a pure function of the input, so that a test or an experiment can tell
 * a right answer from one that is torn, doubled or another request's.
 */
import { hashText } from '../base/common/rendezvous.ts'
import { UpstreamKind } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import type { Configuration, Pipeline } from '../generated/pepperwood/v1/pepperwood_pb.ts'

const LENGTH_PATTERN = /\btokens=(\d{1,5})\b/
const DEFAULT_TOKEN_COUNT = 16
const MAX_TOKEN_COUNT = 4000

/** How many tokens a prompt asks for: `tokens=N` in the input. */
export function readTokenCount (input: string): number {
  const match = LENGTH_PATTERN.exec(input)
  return match === null ? DEFAULT_TOKEN_COUNT : Math.min(MAX_TOKEN_COUNT, Number(match[1]))
}

/** The caller's own mark of a request: `id=…` in the input. */
export function readMarker (input: string): string {
  return /\bid=(\S+)/.exec(input)?.[1] ?? ''
}

/** One token of the answer to a prompt; engines agree on it, so a generation can go on elsewhere. */
export function computeToken (role: string, input: string, previous: string, index: number): string {
  return `t${(hashText(`${role}|${hashText(input)}|${hashText(previous)}|${index}`) % 100000).toString(36)} `
}

/** The answer of a plain service. */
export function computeServiceOutput (role: string, input: string, previous: string): string {
  return `${role}:${hashText(`${role}|${input}|${previous}`).toString(36)}`
}

function computeStageOutput (kind: UpstreamKind, role: string, input: string, previous: string): string {
  if (kind !== UpstreamKind.ENGINE) return computeServiceOutput(role, input, previous)
  const tokens: string[] = []
  for (let index = 0; index < readTokenCount(input); index++) tokens.push(computeToken(role, input, previous, index))
  return tokens.join('')
}

/** The whole answer that a pipeline must give for an input. */
export function computeExpectedAnswer (configuration: Configuration, pipeline: Pipeline, input: string): string {
  let previous = ''
  for (const stage of pipeline.stages) {
    const kind = configuration.upstreams.find(upstream => upstream.role === stage.role)?.kind ?? UpstreamKind.SERVICE
    previous = computeStageOutput(kind, stage.role, input, previous)
  }
  return previous
}
