/**
 * Measures the processor time of a decision: admission and routing of one stage, for a given number of upstreams.
 */
import { create } from '@bufbuild/protobuf'
import { build } from 'hdr-histogram-js'
import { SeededRandom } from '../base/common/random.ts'
import { SystemClock } from '../base/node/systemClock.ts'
import { UpstreamSchema } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import { PredictedFinishAdmission } from '../services/admission/common/admissionPolicy.ts'
import { CommittedWork } from '../services/admission/common/committedWork.ts'
import { FactStore } from '../services/facts/common/factStore.ts'
import { viewUpstream } from '../services/facts/common/upstreamView.ts'
import { EjectingTracker } from '../services/health/common/healthTracker.ts'
import { AdaptiveLimiter } from '../services/limits/common/concurrencyLimiter.ts'
import { EstimatedFinishRouter } from '../services/routing/common/router.ts'
import { FairQueue } from '../services/scheduling/common/stageQueue.ts'
import { UpstreamScheduler } from '../services/scheduling/common/upstreamScheduler.ts'
import type { StageSlot } from '../services/scheduling/common/upstreamScheduler.ts'
import { recordReport } from '../services/upstream/node/upstreamWatcher.ts'

const WARM_UP_DECISIONS = 20_000
const MEASURED_DECISIONS = 20_000
const NANOSECONDS_PER_MS = 1e6
const PREFIX_COUNT = 200
const LIVE_GATE_COUNT = 9
const MAX_OPEN_CALLS = 8

/** Returns the median and the 99th percentile of the time for one decision, in microseconds. */
export function measureDecision (upstreamCount: number): { readonly median: number, readonly p99: number } {
  const clock = new SystemClock()
  const facts = new FactStore(clock)
  const upstreams = Array.from({ length: upstreamCount }, (_, index) => create(UpstreamSchema, { name: `generate-${index}`, role: 'generate', hall: `h${index % 7}`, concurrency: 8 }))
  for (const [index, upstream] of upstreams.entries()) {
    recordReport(facts, upstream.name, { boot: 1, report: 1, running: index % 9, queued: 0, capacity: 8, isLeaving: false, models: ['m'], fencing: 0, prefixes: [`k${index % PREFIX_COUNT}`] }, clock.now())
  }
  const random = new SeededRandom(1)
  const scheduler = new UpstreamScheduler({
    clock,
    random,
    hall: 'h0',
    directory: { listByRole: () => upstreams, getView: upstream => viewUpstream(upstream, facts), countLiveGates: () => LIVE_GATE_COUNT },
    router: new EstimatedFinishRouter({ random }),
    createQueue: () => new FairQueue(),
    createLimiter: () => new AdaptiveLimiter(),
    createHealth: () => new EjectingTracker(),
    dropsInfeasible: true
  })
  const admission = new PredictedFinishAdmission()
  const committed = new CommittedWork(clock)
  const openSlots: StageSlot[] = []
  const decide = (index: number) => {
    admission.decide({ customer: 'c', customerWeight: 1, timeLeftMs: 4000, priority: 1, stages: [{ role: 'generate', expectedMs: scheduler.latencies.getMeanMs('p/generate'), slotCount: scheduler.countSlots('generate') }] }, committed)
    scheduler.acquire({ requestId: '', customer: 'c', customerWeight: 1, priority: 1, deadlineAt: clock.now() + 4000, role: 'generate', stageKey: 'p/generate', model: 'm', prefixKey: `k${index % PREFIX_COUNT}`, triedUpstreams: new Set() }, { onGranted: slot => openSlots.push(slot), onRefused: () => {} })
  }
  const times = build({ highestTrackableValue: 1e9 })
  for (let index = 0; index < WARM_UP_DECISIONS + MEASURED_DECISIONS; index++) {
    const startedAt = clock.now()
    decide(index)
    if (index >= WARM_UP_DECISIONS) times.recordValue(Math.round((clock.now() - startedAt) * NANOSECONDS_PER_MS))
    if (openSlots.length > MAX_OPEN_CALLS) scheduler.release(openSlots.shift() as StageSlot, { kind: 'answered' })
  }
  return { median: times.getValueAtPercentile(50) / 1000, p99: times.getValueAtPercentile(99) / 1000 }
}
