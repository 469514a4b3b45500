/**
 * Which models each engine should hold: a pure function of the configuration and the engines that stay.
 */
import { rankByRendezvous } from '../../../base/common/rendezvous.ts'
import type { ModelPlacement } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'

/** An engine as planning sees it. */
export interface OrderableEngine {
  readonly name: string
  readonly role: string
  readonly isLeaving: boolean
}

function formatModel (placement: Pick<ModelPlacement, 'model' | 'modelVersion'>): string {
  return placement.modelVersion === '' ? placement.model : `${placement.model}@${placement.modelVersion}`
}

/** The wanted models by engine; engines of roles without a placement are left alone and do not appear. */
export function planModels (placements: readonly ModelPlacement[], engines: readonly OrderableEngine[]): ReadonlyMap<string, readonly string[]> {
  const wanted = new Map<string, string[]>()
  const placedRoles = new Set(placements.map(placement => placement.role))
  for (const engine of engines) if (placedRoles.has(engine.role) && !engine.isLeaving) wanted.set(engine.name, [])
  for (const placement of placements) {
    const names = engines.filter(engine => engine.role === placement.role && !engine.isLeaving).map(engine => engine.name)
    const chosen = rankByRendezvous(`place/${placement.role}/${placement.model}`, names).slice(0, placement.replicas)
    for (const name of chosen) wanted.get(name)?.push(formatModel(placement))
  }
  return wanted
}
