/**
 * Validation rules for the relay section of configuration documents beyond its schema.
 */
import { RouteKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { PieceWork, PreparationStage, Relay, RelayCustomer, Route } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { ProblemReporter } from './problemReporter.ts'

const DIGEST_PATTERN = /^[0-9a-f]{64}$/

/** Reports all rule violations of the relay section, in the order of the document. */
export function listRelayProblems (relay: Relay, report: ProblemReporter): void {
  const roles = new Map(relay.roles.map(role => [role.name, role]))
  relay.roles.forEach((role, index) => {
    const path = `relay.roles[${index}]`
    if (role.name === '') report(`${path}.name`, '', 'expected a name')
    if (!(role.coldRequestsPerS >= 0)) report(`${path}.coldRequestsPerS`, String(role.coldRequestsPerS), 'expected 0 or more requests a second')
    if (!(role.coldMs >= 0)) report(`${path}.coldMs`, String(role.coldMs), 'expected 0 or more milliseconds')
    if (role.pieceWork !== undefined) checkPieceWork(`${path}.pieceWork`, role.pieceWork, report)
  })
  relay.routes.forEach((route, index) => checkRoute(`relay.routes[${index}]`, route, name => roles.has(name), report))
  relay.routes.forEach((route, index) => {
    route.stages.forEach((stage, stageIndex) => {
      if (roles.get(stage.role)?.pieceWork !== undefined) return
      report(`relay.routes[${index}].stages[${stageIndex}].role`, stage.role, 'expected a role with piece work')
    })
  })
  relay.customers.forEach((customer, index) => checkCustomer(`relay.customers[${index}]`, customer, report))
}

function checkRoute (path: string, route: Route, hasRole: (name: string) => boolean, report: ProblemReporter): void {
  if (route.host === '') report(`${path}.host`, '', 'expected a host')
  if (!/^\/(.*\/)?$/.test(route.pathPrefix)) report(`${path}.pathPrefix`, route.pathPrefix, 'expected a path that begins and ends with a slash')
  if (route.kind === RouteKind.UNSPECIFIED) report(`${path}.kind`, '', 'expected a kind')
  if (route.maxAttempts < 1) report(`${path}.maxAttempts`, String(route.maxAttempts), 'expected at least 1')
  if (!(route.timeoutMs > 0)) report(`${path}.timeoutMs`, String(route.timeoutMs), 'expected a positive number of milliseconds')
  if (route.targets.length === 0) report(`${path}.targets`, '', 'expected at least one target')
  route.targets.forEach((target, index) => {
    if (!hasRole(target.role)) report(`${path}.targets[${index}].role`, target.role, 'no such role')
    if (!(target.weight >= 0)) report(`${path}.targets[${index}].weight`, String(target.weight), 'expected a weight of 0 or more')
  })
  if (route.targets.length > 0 && !route.targets.some(target => target.weight > 0)) report(`${path}.targets`, '', 'expected a target with a weight above 0')
  checkHomeRegions(`${path}.homeRegions`, route.homeRegions, report)
  checkStages(`${path}.stages`, route.stages, report)
}

function checkHomeRegions (path: string, regions: readonly string[], report: ProblemReporter): void {
  regions.forEach((region, index) => { if (region === '') report(`${path}[${index}]`, '', 'expected a region') })
}

/** Stages may depend on stages listed later, but not on their own result through a cycle. */
function checkStages (path: string, stages: readonly PreparationStage[], report: ProblemReporter): void {
  stages.forEach((stage, index) => {
    for (const after of stage.after) if (after >= stages.length) report(`${path}[${index}].after`, String(after), 'no such stage')
  })
  if (hasCycle(stages)) report(path, '', 'the dependencies of the stages form a cycle')
}

/** Visits each dependency once, since routes may have thousands of stages. */
function hasCycle (stages: readonly PreparationStage[]): boolean {
  const dependents = stages.map((): number[] => [])
  const pendingCounts = stages.map((stage, index) => {
    const known = stage.after.filter(after => after < stages.length)
    for (const after of known) dependents[after]?.push(index)
    return known.length
  })
  const resolved = stages.flatMap((_, index) => pendingCounts[index] === 0 ? [index] : [])
  for (const stage of resolved) {
    for (const dependent of dependents[stage] ?? []) {
      const pendingCount = (pendingCounts[dependent] ?? 0) - 1
      pendingCounts[dependent] = pendingCount
      if (pendingCount === 0) resolved.push(dependent)
    }
  }
  return resolved.length < stages.length
}

function checkPieceWork (path: string, work: PieceWork, report: ProblemReporter): void {
  const positive = {
    concurrentCalls: work.concurrentCalls,
    maxPiecesPerCall: work.maxPiecesPerCall,
    resultRoomBytes: work.resultRoomBytes,
    resultLifetimeMs: work.resultLifetimeMs
  }
  for (const [field, value] of Object.entries(positive)) {
    if (!(value > 0)) report(`${path}.${field}`, String(value), 'expected a number above 0')
  }
}

function checkCustomer (path: string, customer: RelayCustomer, report: ProblemReporter): void {
  if (customer.name === '') report(`${path}.name`, '', 'expected a name')
  checkHomeRegions(`${path}.homeRegions`, customer.homeRegions, report)
  customer.keySha256.forEach((digest, index) => {
    if (!DIGEST_PATTERN.test(digest)) report(`${path}.keySha256[${index}]`, digest, 'expected 64 lower-case hexadecimal digits')
  })
}
