/**
 * `pepperwood-load bench`: measures the throughput and overhead of one gate, and the cost of an admission and routing decision.
 */
import { defineCommand } from 'citty'
import { exitCodes } from '../services/program/node/program.ts'
import { measureDecision } from './decisionBench.ts'
import { measureGate } from './gateBench.ts'
import { chooseNetwork, loadProfile } from './runCommand.ts'

const UPSTREAM_COUNTS = [12, 100, 700] as const
const MEASURE_MS = 6000
const CONCURRENCY = 24

export const benchCommand = defineCommand({
  meta: { name: 'bench', description: 'Measure one gate and the decisions. Example: pepperwood-load bench' },
  args: {
    profile: { type: 'string', default: 'bench/profiles/one-gate.toml', description: 'The profile (TOML)', valueHint: 'FILE' },
    out: { type: 'string', default: 'out/bench', description: 'Directory for settings and logs', valueHint: 'DIR' }
  },
  async run ({ args }) {
    process.stdout.write('| upstreams | decision median µs | p99 µs |\n| --- | --- | --- |\n')
    for (const count of UPSTREAM_COUNTS) {
      const { median, p99 } = measureDecision(count)
      process.stdout.write(`| ${count} | ${median.toFixed(1)} | ${p99.toFixed(1)} |\n`)
    }
    const gate = await measureGate({ profile: loadProfile(args.profile), network: chooseNetwork(), directory: args.out, measureMs: MEASURE_MS, concurrency: CONCURRENCY })
    process.stdout.write([
      '',
      '| figure of one gate | |',
      '| --- | --- |',
      `| one stage called directly, median ms | ${gate.directMs.toFixed(2)} |`,
      `| the same through the gate, median ms | ${gate.throughGateMs.toFixed(2)} |`,
      `| ratio | ${(gate.throughGateMs / gate.directMs).toFixed(2)} |`,
      `| requests/s of one stage, ${CONCURRENCY} callers at once | ${gate.requestsPerSecond.toFixed(0)} |`,
      `| tokens/s, ${CONCURRENCY} callers at once | ${gate.chunksPerSecond.toFixed(0)} |`,
      `| gate's processor ms for a request of one stage | ${gate.gateMsPerRequest.toFixed(2)} |`,
      `| gate's processor ms for a token more | ${gate.gateMsPerChunk.toFixed(3)} |`,
      `| idle gate, resident MB | ${gate.idleGateMb.toFixed(0)} |`,
      `| idle steward, resident MB | ${gate.idleStewardMb.toFixed(0)} |`,
      ''
    ].join('\n'))
    process.exit(exitCodes.ok)
  }
})
