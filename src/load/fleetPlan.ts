/**
 * Creates the settings of every process of a loopback fleet from a profile. Each host has its own IP address in 127.0.0.0/8.
 */
import { createHash } from 'node:crypto'
import { create, toJsonString } from '@bufbuild/protobuf'
import { ConfigurationSchema, UpstreamKind } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import type { Configuration } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import { GateSettingsSchema } from '../gate/gateSettings.ts'
import type { GateSettings, PolicySettings } from '../gate/gateSettings.ts'
import { StewardSettingsSchema } from '../steward/stewardSettings.ts'
import type { StewardSettings } from '../steward/stewardSettings.ts'
import type { StandinSettings, StandinUpstreamSettings } from '../standin/standinSettings.ts'
import type { LoadProfile } from './loadProfile.ts'

export interface FleetPlanOptions {
  readonly profile: LoadProfile
  /** The second octet of the fleet's addresses, which keeps concurrent fleets apart. */
  readonly network: number
  readonly seed: number
  /** Whether connections go through relays: processes then listen on other addresses than they announce. */
  readonly usesRelays: boolean
  /** Number of processes over which the stand-in upstreams are distributed. The first also serves the platform. */
  readonly standinCount?: number
  /** Replaces the profile's policy. */
  readonly policy?: PolicySettings
}

/** An entry host with its steward and gate. */
export interface HostPlan {
  readonly name: string
  readonly hall: string
  readonly ip: string
  readonly steward: StewardSettings
  readonly gate: GateSettings
}

/** A relay that listens on the announced address and forwards to the address on which the process listens. */
export interface RelayPlan {
  readonly address: string
  readonly target: string
  readonly hall: string
}

export interface FleetPlan {
  readonly hosts: readonly HostPlan[]
  /** The first one also serves the platform's store. */
  readonly standins: readonly StandinSettings[]
  readonly relays: readonly RelayPlan[]
  readonly configuration: Configuration
  readonly configurationText: string
  /** Hall by IP address, for the relays. */
  readonly halls: ReadonlyMap<string, string>
}

const PORTS = { steward: 7000, operator: 7001, stewardMetrics: 7002, gate: 8000, gateMetrics: 8001, platform: 9000, upstream: 9100 } as const
const CHECKPOINT_KEY = 'a key for experiments only'
/** First value of the third octet for each kind of address: as announced, and as listened on behind relays. */
const ADDRESS_BLOCKS = { host: 10, hostBehindRelay: 110, upstream: 40, upstreamBehindRelay: 140, client: 90 } as const

/** Number of IP addresses that a block provides; further upstreams reuse them with other ports. */
const MAX_ADDRESSES_PER_BLOCK = 250

export function formatCustomerKey (customer: string): string {
  return `key of ${customer}`
}

/** The local address of a caller's connections. */
export function formatClientIp (network: number, index: number): string {
  return `127.${network}.${ADDRESS_BLOCKS.client}.${1 + index % 250}`
}

export function planFleet (options: FleetPlanOptions): FleetPlan {
  const { profile, network, usesRelays } = options
  const halls = new Map<string, string>()
  const relays: RelayPlan[] = []
  const allocateAddress = (block: number, blockBehindRelay: number, hallIndex: number, hostIndex: number, port: number): { readonly address: string, readonly listen: string } => {
    const hall = profile.halls[hallIndex] ?? ''
    const ip = `127.${network}.${block + hallIndex}.${1 + hostIndex}`
    halls.set(ip, hall)
    const address = `${ip}:${port}`
    if (!usesRelays) return { address, listen: address }
    const listen = `127.${network}.${blockBehindRelay + hallIndex}.${1 + hostIndex}:${port}`
    relays.push({ address, target: listen, hall })
    return { address, listen }
  }
  const hosts = planHosts({ ...profile, policy: options.policy ?? profile.policy }, formatStandinAddress(network, 0), allocateAddress)
  const upstreams = planUpstreams(profile, allocateAddress)
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

/** Address of the control server of a stand-in process. */
function formatStandinAddress (network: number, index: number): string {
  return `127.${network}.1.${1 + index}:${PORTS.platform}`
}

function planStandins (options: FleetPlanOptions, upstreams: readonly StandinUpstreamSettings[]): readonly StandinSettings[] {
  const count = options.standinCount ?? 1
  return Array.from({ length: count }, (_, index) => ({
    listen: formatStandinAddress(options.network, index),
    seed: options.seed + index,
    configuration_file: undefined,
    upstreams: upstreams.filter((_upstream, position) => position % count === index)
  }))
}

type AllocateAddress = (block: number, blockBehindRelay: number, hallIndex: number, hostIndex: number, port: number) => { readonly address: string, readonly listen: string }

function planHosts (profile: LoadProfile, platform: string, allocateAddress: AllocateAddress): readonly HostPlan[] {
  const allocatedHosts = Array.from({ length: profile.hosts }, (_, index) => {
    const hallIndex = index % profile.halls.length
    const indexInHall = Math.floor(index / profile.halls.length)
    const allocatePort = (port: number) => allocateAddress(ADDRESS_BLOCKS.host, ADDRESS_BLOCKS.hostBehindRelay, hallIndex, indexInHall, port)
    return { index, hall: profile.halls[hallIndex] ?? '', steward: allocatePort(PORTS.steward), operator: allocatePort(PORTS.operator), gate: allocatePort(PORTS.gate) }
  })
  const seeds = allocatedHosts.map(host => host.steward.address)
  return allocatedHosts.map(host => {
    const ip = host.steward.address.split(':')[0] ?? ''
    const listenIp = host.steward.listen.split(':')[0] ?? ''
    // A gate prefers the steward of its own host, then others of its hall.
    const others = allocatedHosts.filter(other => other !== host).sort((a, b) => Number(b.hall === host.hall) - Number(a.hall === host.hall))
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
  readonly settings: StandinUpstreamSettings
  readonly address: string
  readonly hall: string
  readonly mayCallTwice: boolean
}

function planUpstreams (profile: LoadProfile, allocateAddress: AllocateAddress): readonly PlannedUpstream[] {
  const planned: PlannedUpstream[] = []
  for (const group of profile.upstreams) {
    for (let index = 0; index < group.count; index++) {
      const hallIndex = index % profile.halls.length
      const { address, listen } = allocateAddress(ADDRESS_BLOCKS.upstream, ADDRESS_BLOCKS.upstreamBehindRelay, hallIndex, planned.length % MAX_ADDRESSES_PER_BLOCK, PORTS.upstream + Math.floor(planned.length / MAX_ADDRESSES_PER_BLOCK))
      const { count: _count, model, may_call_twice: mayCallTwice, ...shape } = group
      const settings: StandinUpstreamSettings = {
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
