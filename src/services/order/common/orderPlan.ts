/**
 * Plans which models each engine loads. A pure function of the configuration and the engines that are not leaving, so that all
 * stewards compute the same plan.
 */
import { rankByRendezvous } from '../../../base/common/rendezvous.ts'
import type { ModelPlacement } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'

/** The properties of an engine that the plan depends on. */
export interface OrderableEngine {
  readonly name: string
  readonly role: string
  readonly isLeaving: boolean
}

function formatModel (placement: Pick<ModelPlacement, 'model' | 'modelVersion'>): string {
  return placement.modelVersion === '' ? placement.model : `${placement.model}@${placement.modelVersion}`
}

/** Returns the models to load by engine. Engines of roles without a placement are not managed and are absent from the result. */
export function planModels (placements: readonly ModelPlacement[], engines: readonly OrderableEngine[]): ReadonlyMap<string, readonly string[]> {
  const modelsByEngine = new Map<string, string[]>()
  const placedRoles = new Set(placements.map(placement => placement.role))
  for (const engine of engines) if (placedRoles.has(engine.role) && !engine.isLeaving) modelsByEngine.set(engine.name, [])
  for (const placement of placements) {
    const names = engines.filter(engine => engine.role === placement.role && !engine.isLeaving).map(engine => engine.name)
    const chosen = rankByRendezvous(`place/${placement.role}/${placement.model}`, names).slice(0, placement.replicas)
    for (const name of chosen) modelsByEngine.get(name)?.push(formatModel(placement))
  }
  return modelsByEngine
}
