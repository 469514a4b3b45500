/**
 * From a profile to the settings of every process of a fleet on loopback. Each host has an IP number of its own in 127/8.
 */
import { createHash } from 'node:crypto'
import { create, toJsonString } from '@bufbuild/protobuf'
import { ConfigurationSchema, UpstreamKind } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import type { Configuration } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import { GateSettingsSchema } from '../gate/gateSettings.ts'
import type { GateSettings, PolicySettings } from '../gate/gateSettings.ts'
import { StewardSettingsSchema } from '../steward/stewardSettings.ts'
import type { StewardSettings } from '../steward/stewardSettings.ts'
import type { StandinSettings, StandinUpstream } from '../standin/standinSettings.ts'
import type { LoadProfile } from './loadProfile.ts'

export interface FleetPlanOptions {
  readonly profile: LoadProfile
  /** The second number of the fleet's addresses, so that fleets do not meet. */
  readonly network: number
  readonly seed: number
  /** Processes list their own address behind a relay when there is one. */
  readonly usesRelays: boolean
  /** Processes that the stand-in upstreams are spread over; the platform's is the first of them. */
  readonly standinCount?: number
  /** Replaces the profile's policy. */
  readonly policy?: PolicySettings
}

/** One entry host with its two processes. */
export interface HostPlan {
  readonly name: string
  readonly hall: string
  readonly ip: string
  readonly steward: StewardSettings
  readonly gate: GateSettings
}

/** A relay in front of an address: it listens where others look, and passes on to where the process listens. */
export interface RelayPlan {
  readonly address: string
  readonly target: string
  readonly hall: string
}

export interface FleetPlan {
  readonly hosts: readonly HostPlan[]
  /** The first one holds the platform's values. */
  readonly standins: readonly StandinSettings[]
  readonly relays: readonly RelayPlan[]
  readonly configuration: Configuration
  readonly configurationText: string
  /** From IP number to hall, for relays. */
  readonly halls: ReadonlyMap<string, string>
}

const PORTS = { steward: 7000, operator: 7001, stewardMetrics: 7002, gate: 8000, gateMetrics: 8001, platform: 9000, upstream: 9100 } as const
const CHECKPOINT_KEY = 'a key for experiments only'
/** Third numbers of addresses: entry hosts as others see them, as they listen behind relays, and upstreams. */
const BLOCKS = { host: 10, hostBehind: 110, upstream: 40, upstreamBehind: 140, client: 90 } as const

/** IP numbers used of a block; further upstreams share them under other ports. */
const MAX_HOSTS_IN_BLOCK = 250

export function formatCustomerKey (customer: string): string {
  return `key of ${customer}`
}

/** The address that a customer's connections leave from. */
export function formatClientIp (network: number, index: number): string {
  return `127.${network}.${BLOCKS.client}.${1 + index % 250}`
}

export function planFleet (options: FleetPlanOptions): FleetPlan {
  const { profile, network, usesRelays } = options
  const halls = new Map<string, string>()
  const relays: RelayPlan[] = []
  const place = (block: number, blockBehind: number, hallIndex: number, item: number, port: number): { readonly address: string, readonly listen: string } => {
    const hall = profile.halls[hallIndex] ?? ''
    const ip = `127.${network}.${block + hallIndex}.${1 + item}`
    halls.set(ip, hall)
    const address = `${ip}:${port}`
    if (!usesRelays) return { address, listen: address }
    const listen = `127.${network}.${blockBehind + hallIndex}.${1 + item}:${port}`
    relays.push({ address, target: listen, hall })
    return { address, listen }
  }
  const hosts = planHosts({ ...profile, policy: options.policy ?? profile.policy }, formatStandinAddress(network, 0), place)
  const upstreams = planUpstreams(profile, place)
  const configuration = createConfiguration(profile, upstreams)
  return {
    hosts,
    standins: planStandins(options, upstreams.map(item => item.settings)),
    relays,
    configuration,
    configurationText: toJsonString(ConfigurationSchema, configuration),
    halls
  }
}

/** The control server of a stand-in process. */
function formatStandinAddress (network: number, index: number): string {
  return `127.${network}.1.${1 + index}:${PORTS.platform}`
}

function planStandins (options: FleetPlanOptions, upstreams: readonly StandinUpstream[]): readonly StandinSettings[] {
  const count = options.standinCount ?? 1
  return Array.from({ length: count }, (_, index) => ({
    listen: formatStandinAddress(options.network, index),
    seed: options.seed + index,
    configuration_file: undefined,
    upstreams: upstreams.filter((_upstream, position) => position % count === index)
  }))
}

type Place = (block: number, blockBehind: number, hallIndex: number, item: number, port: number) => { readonly address: string, readonly listen: string }

function planHosts (profile: LoadProfile, platform: string, place: Place): readonly HostPlan[] {
  const placed = Array.from({ length: profile.hosts }, (_, index) => {
    const hallIndex = index % profile.halls.length
    const item = Math.floor(index / profile.halls.length)
    const placeAt = (port: number) => place(BLOCKS.host, BLOCKS.hostBehind, hallIndex, item, port)
    return { index, hall: profile.halls[hallIndex] ?? '', steward: placeAt(PORTS.steward), operator: placeAt(PORTS.operator), gate: placeAt(PORTS.gate) }
  })
  const seeds = placed.map(host => host.steward.address)
  return placed.map(host => {
    const ip = host.steward.address.split(':')[0] ?? ''
    const listenIp = host.steward.listen.split(':')[0] ?? ''
    // A gate prefers the steward of its own host, then others of its hall.
    const others = placed.filter(other => other !== host).sort((a, b) => Number(b.hall === host.hall) - Number(a.hall === host.hall))
    return {
      name: `host-${host.index}`,
      hall: host.hall,
      ip,
      steward: StewardSettingsSchema.make({
        address: host.steward.address,
        listen: host.steward.listen,
        operator_address: host.operator.listen,
        metrics_address: `${listenIp}:${PORTS.stewardMetrics}`,
        hall: host.hall,
        local_ip: ip,
        platform: [platform],
        seeds
      }),
      gate: GateSettingsSchema.make({
        address: host.gate.address,
        listen: host.gate.listen,
        metrics_address: `${listenIp}:${PORTS.gateMetrics}`,
        hall: host.hall,
        local_ip: ip,
        stewards: [host.steward.address, ...others.map(other => other.steward.address)],
        checkpoint_key: CHECKPOINT_KEY,
        policy: profile.policy
      })
    }
  })
}

interface PlannedUpstream {
  readonly settings: StandinUpstream
  readonly address: string
  readonly hall: string
  readonly mayCallTwice: boolean
}

function planUpstreams (profile: LoadProfile, place: Place): readonly PlannedUpstream[] {
  const planned: PlannedUpstream[] = []
  for (const group of profile.upstreams) {
    for (let index = 0; index < group.count; index++) {
      const hallIndex = index % profile.halls.length
      const { address, listen } = place(BLOCKS.upstream, BLOCKS.upstreamBehind, hallIndex, planned.length % MAX_HOSTS_IN_BLOCK, PORTS.upstream + Math.floor(planned.length / MAX_HOSTS_IN_BLOCK))
      const { count: _count, model, may_call_twice: mayCallTwice, ...shape } = group
      const settings: StandinUpstream = {
        ...shape,
        name: `${group.role}-${index}`,
        listen,
        models: model === '' ? [] : [model],
        load_ms: 500,
        report_lag_ms: 100
      }
      planned.push({ settings, address, hall: profile.halls[hallIndex] ?? '', mayCallTwice })
    }
  }
  return planned
}

function createConfiguration (profile: LoadProfile, upstreams: readonly PlannedUpstream[]): Configuration {
  const findModel = (role: string) => profile.upstreams.find(group => group.role === role)?.model ?? ''
  return create(ConfigurationSchema, {
    epoch: 1,
    version: 1,
    pipelines: profile.pipelines.map(pipeline => ({
      name: pipeline.name,
      deadlineMs: pipeline.deadline_ms,
      priority: pipeline.priority,
      stages: pipeline.stages.map(stage => ({ name: stage.role, role: stage.role, model: findModel(stage.role), unrepeatable: stage.unrepeatable }))
    })),
    customers: profile.customers.map(customer => ({
      name: customer.name,
      keySha256: createHash('sha256').update(formatCustomerKey(customer.name)).digest('hex'),
      weight: customer.weight
    })),
    upstreams: upstreams.map(({ settings, address, hall, mayCallTwice }) => ({
      name: settings.name,
      kind: settings.kind === 'engine' ? UpstreamKind.ENGINE : UpstreamKind.SERVICE,
      role: settings.role,
      address,
      hall,
      checksFencing: settings.checks_fencing,
      mayCallTwice,
      concurrency: settings.capacity
    }))
  })
}
