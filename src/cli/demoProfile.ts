/**
 * The load profile of the demo: a fleet small enough for one process.
 */
import { Schema } from 'effect'
import { LoadProfileSchema } from '../load/loadProfile.ts'

export const demoProfile = Schema.decodeUnknownSync(LoadProfileSchema)({
  name: 'demo',
  halls: ['north', 'middle', 'south'],
  hosts: 3,
  hall_rtt_ms: 0,
  client_rtt_ms: 0,
  nominal_rate: 40,
  upstreams: [
    { role: 'encode', kind: 'service', count: 2, base_ms: 5 },
    { role: 'retrieve', kind: 'service', count: 2, base_ms: 8 },
    { role: 'rerank', kind: 'service', count: 2, base_ms: 8 },
    { role: 'generate', kind: 'engine', count: 3, base_ms: 8, model: 'writer' },
    { role: 'booking', kind: 'service', count: 2, base_ms: 8, may_call_twice: false }
  ],
  pipelines: [
    { name: 'script', deadline_ms: 4000, stages: [{ role: 'encode' }, { role: 'retrieve' }, { role: 'rerank' }, { role: 'generate' }], share: 3 },
    { name: 'booking', deadline_ms: 2000, stages: [{ role: 'encode' }, { role: 'booking', unrepeatable: true }], share: 1, unrepeatable_share: 1 }
  ],
  customers: [
    { name: 'large', share: 4 },
    { name: 'small', share: 1 }
  ]
})
