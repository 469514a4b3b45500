/**
 * `pepperwood demo`: runs a small fleet of three halls in this process, sends it requests and prints a report.
 */
import { defineCommand } from 'citty'
import { SeededRandom } from '../base/common/random.ts'
import { planArrivals } from '../load/arrivals.ts'
import { planFleet } from '../load/fleetPlan.ts'
import { InProcessFleet } from '../load/inProcessFleet.ts'
import { createLoadReport, formatReport, isCorrect } from '../load/loadReport.ts'
import { runLoad } from '../load/loadRunner.ts'
import { exitCodes } from '../services/program/node/program.ts'
import { demoProfile } from './demoProfile.ts'

const SEED = 7
const REQUESTS_PER_SECOND = 25
const RUN_ID = 'demo'
/** The fleet listens on 127.N.0.0/16, with N from 1 to 200 by process id: other fleets on the machine rarely use these numbers. */
const LOOPBACK_NETWORK_COUNT = 200

export const demoCommand = defineCommand({
  meta: { name: 'demo', description: 'Run a small fleet in this process and send it requests' },
  args: {
    seconds: { type: 'string', default: '8', description: 'Seconds during which requests are sent' },
    json: { type: 'boolean', default: false, description: 'Print the report as JSON' },
    verbose: { type: 'boolean', default: false, description: 'Show the fleet\'s logs' }
  },
  async run ({ args }) {
    const plan = planFleet({ profile: demoProfile, network: 1 + process.pid % LOOPBACK_NETWORK_COUNT, seed: SEED, usesRelays: false })
    const fleet = new InProcessFleet(plan, !args.verbose)
    process.stderr.write(`starting ${plan.hosts.length} stewards, ${plan.hosts.length} gates and ${plan.configuration.upstreams.length} stand-in upstreams in ${demoProfile.halls.length} halls\n`)
    await fleet.start()
    const shape = { rate: REQUESTS_PER_SECOND, burstFactor: 1, burstFromMs: 0, burstToMs: 0, floodCustomer: '', floodFactor: 1 }
    const arrivals = planArrivals(demoProfile, shape, Number(args.seconds) * 1000, RUN_ID, new SeededRandom(SEED))
    process.stderr.write(`sending ${arrivals.length} requests\n`)
    const outcomes = await runLoad({
      arrivals,
      customers: demoProfile.customers.map(customer => customer.name),
      entries: plan.hosts.map(host => host.gate.address),
      network: 1 + process.pid % LOOPBACK_NETWORK_COUNT,
      callersPerCustomer: 2
    })
    const report = createLoadReport({
      configuration: plan.configuration,
      outcomes,
      runs: await fleet.control.readRuns(),
      busyByRole: await fleet.control.readBusyByRole(),
      callsAfterLeaving: await fleet.control.readCallsAfterLeaving()
    })
    process.stdout.write(`${args.json ? JSON.stringify(report) : formatReport(report)}\n`)
    fleet.dispose()
    process.exit(isCorrect(report.counters) ? exitCodes.ok : exitCodes.refused)
  }
})
