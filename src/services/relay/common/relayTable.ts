/**
 * Indexes the relay section of a configuration for lookups.
 */
import type { CallerLimits, Relay, RelayCustomer, Role, Route, RouteTarget } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { RouteKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { IRandom } from '../../../base/common/random.ts'

export class RelayTable {
  private readonly _routesByHost = new Map<string, Route[]>()
  private readonly _customersByKey = new Map<string, RelayCustomer>()
  private readonly _roles: ReadonlyMap<string, Role>
  readonly limits: CallerLimits | undefined

  constructor (relay: Relay) {
    this.limits = relay.limits
    this._roles = new Map(relay.roles.map(role => [role.name, role]))
    for (const route of relay.routes) {
      const routes = this._routesByHost.get(route.host)
      if (routes === undefined) this._routesByHost.set(route.host, [route])
      else routes.push(route)
    }
    for (const routes of this._routesByHost.values()) routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
    for (const customer of relay.customers) for (const digest of customer.keySha256) this._customersByKey.set(digest, customer)
    this.requiresKeys = relay.customers.length > 0
  }

  /** Whether requests need a customer's key on routes that are not public. */
  readonly requiresKeys: boolean

  /** Returns the route whose path prefix is the longest match. */
  findRoute (host: string, path: string): Route | undefined {
    return this._routesByHost.get(host)?.find(route => path.startsWith(route.pathPrefix))
  }

  /** Returns the home regions of all routes of a host; empty if none of them has home regions. */
  listHomeRegions (host: string): readonly string[] {
    return [...new Set((this._routesByHost.get(host) ?? []).flatMap(route => route.homeRegions))]
  }

  /** Returns the home regions of each route and customer that has any, with a description of the route or customer. */
  listAllHomeRegions (): readonly { readonly of: string, readonly regions: readonly string[] }[] {
    const routes = [...this._routesByHost.values()].flat().map(route => ({ of: `route ${route.name}`, regions: route.homeRegions }))
    const customers = [...new Set(this._customersByKey.values())].map(customer => ({ of: `customer ${customer.name}`, regions: customer.homeRegions }))
    return [...routes, ...customers].filter(({ regions }) => regions.length > 0)
  }

  /** Returns the customer whose key has this SHA-256 digest. */
  findCustomer (keyDigest: string): RelayCustomer | undefined {
    return this._customersByKey.get(keyDigest)
  }

  getRole (name: string): Role | undefined {
    return this._roles.get(name)
  }

  /** Returns the roles whose upstreams compute pieces of preparation stages. */
  listPieceRoles (): readonly Role[] {
    return [...this._roles.values()].filter(role => role.pieceWork !== undefined)
  }
}

/** Returns the role of a random target, with a probability proportional to its weight. */
export function pickTarget (targets: readonly RouteTarget[], random: IRandom): string {
  const total = targets.reduce((sum, target) => sum + target.weight, 0)
  let remaining = random.next() * total
  for (const target of targets) {
    remaining -= target.weight
    if (remaining < 0) return target.role
  }
  return targets.findLast(target => target.weight > 0)?.role ?? ''
}

/** Whether a request may run more than once from its start. */
export function isRepeatable (route: Route): boolean {
  return route.kind === RouteKind.REPEATABLE || (route.kind === RouteKind.STREAM && route.isResumable)
}
