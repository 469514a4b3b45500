/**
 * Validation rules for configuration documents beyond their schema.
 */
import { UpstreamKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { Configuration, Customer, Pipeline, Upstream } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { parseAddress } from '../../../base/common/address.ts'
import { MAX_EPOCH, MAX_VERSION } from '../../order/common/fencing.ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import { listRelayProblems } from './relayRules.ts'
import type { ProblemReporter } from './problemReporter.ts'

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/
const DIGEST_PATTERN = /^[0-9a-f]{64}$/
const MAX_DEADLINE_MS = 3_600_000
const MAX_STAGES = 16
const MAX_UINT32 = 2 ** 32 - 1

function checkNames (path: string, items: readonly { readonly name: string }[], report: ProblemReporter): void {
  const seen = new Set<string>()
  items.forEach((item, index) => {
    const place = `${path}[${index}].name`
    if (!NAME_PATTERN.test(item.name)) report(place, item.name, 'expected lower-case letters, digits, dots, dashes or underscores')
    if (seen.has(item.name)) report(place, item.name, 'the name is used twice')
    seen.add(item.name)
  })
}

/** The number is part of the fencing numbers of orders and has to fit into them. Only documents with placements lead to orders. */
function checkNumber ({ epoch, version, placements }: Configuration, report: ProblemReporter): void {
  const maxEpoch = placements.length > 0 ? MAX_EPOCH : MAX_UINT32
  if (epoch < 1 || epoch > maxEpoch) report('epoch', String(epoch), `expected 1 to ${maxEpoch}`)
  if (version === undefined || version > MAX_VERSION) report('version', String(version ?? ''), `expected 0 to ${MAX_VERSION}`)
}

function checkPipeline (path: string, pipeline: Pipeline, roles: ReadonlySet<string>, report: ProblemReporter): void {
  if (pipeline.stages.length === 0) report(`${path}.stages`, '', 'expected at least one stage')
  if (pipeline.stages.length > MAX_STAGES) report(`${path}.stages`, String(pipeline.stages.length), `expected at most ${MAX_STAGES} stages`)
  if (pipeline.deadlineMs === 0 || pipeline.deadlineMs > MAX_DEADLINE_MS) {
    report(`${path}.deadlineMs`, String(pipeline.deadlineMs), `expected 1 to ${MAX_DEADLINE_MS} milliseconds`)
  }
  checkNames(`${path}.stages`, pipeline.stages, report)
  pipeline.stages.forEach((stage, index) => {
    if (!roles.has(stage.role)) report(`${path}.stages[${index}].role`, stage.role, 'no upstream has this role')
  })
}

function checkCustomer (path: string, customer: Customer, pipelines: ReadonlySet<string>, report: ProblemReporter): void {
  if (!DIGEST_PATTERN.test(customer.keySha256)) report(`${path}.keySha256`, customer.keySha256, 'expected 64 lower-case hexadecimal digits')
  customer.pipelines.forEach((name, index) => {
    if (!pipelines.has(name)) report(`${path}.pipelines[${index}]`, name, 'no such pipeline')
  })
}

function checkUpstream (path: string, upstream: Upstream, report: ProblemReporter): void {
  if (parseAddress(upstream.address) === undefined) report(`${path}.address`, upstream.address, 'expected an IP number and port')
  if (upstream.kind === UpstreamKind.UNSPECIFIED) report(`${path}.kind`, '', 'expected UPSTREAM_KIND_ENGINE or UPSTREAM_KIND_SERVICE')
  if (upstream.role === '') report(`${path}.role`, '', 'expected a role')
  if (upstream.hall === '') report(`${path}.hall`, '', 'expected a hall')
}

/** Returns all rule violations, in the order of the document. */
export function listProblems (configuration: Configuration): readonly PepperwoodError[] {
  const problems: PepperwoodError[] = []
  const report: ProblemReporter = (path, value, message) => {
    problems.push(new PepperwoodError({ name: 'configurationInvalid', message, place: path, value }))
  }
  const roles = new Set(configuration.upstreams.map(upstream => upstream.role))
  const pipelines = new Set(configuration.pipelines.map(pipeline => pipeline.name))
  checkNumber(configuration, report)
  checkNames('pipelines', configuration.pipelines, report)
  checkNames('customers', configuration.customers, report)
  checkNames('upstreams', configuration.upstreams, report)
  configuration.pipelines.forEach((pipeline, index) => checkPipeline(`pipelines[${index}]`, pipeline, roles, report))
  configuration.customers.forEach((customer, index) => checkCustomer(`customers[${index}]`, customer, pipelines, report))
  configuration.upstreams.forEach((upstream, index) => checkUpstream(`upstreams[${index}]`, upstream, report))
  if (configuration.relay !== undefined) listRelayProblems(configuration.relay, report)
  configuration.placements.forEach((placement, index) => {
    if (!roles.has(placement.role)) report(`placements[${index}].role`, placement.role, 'no upstream has this role')
    if (placement.model === '') report(`placements[${index}].model`, '', 'expected a model')
  })
  return problems
}
