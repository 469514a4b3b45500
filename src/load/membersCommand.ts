/**
 * `pepperwood-load members`: measures what membership and the exchange of facts cost each host at several fleet sizes.
 */
import { defineCommand } from 'citty'
import { exitCodes } from '../services/program/node/program.ts'
import { MemberBench } from './memberBench.ts'
import type { MemberCost } from './memberBench.ts'

const MIN_HOSTS = 2
/** All members run in this process. Each may keep up to 1,000 connections if its links are not bounded. */
const MAX_HOSTS = 400

function formatCost ({ phase, hosts, processorPercent, bytesPerSecond, links, suspicions }: MemberCost): string {
  return `| ${hosts} | ${phase} | ${processorPercent.toFixed(3)} | ${Math.round(bytesPerSecond)} | ${links.toFixed(1)} | ${suspicions} |`
}

function parseHosts (text: string): readonly number[] | undefined {
  const sizes = text.split(',').map(Number)
  return sizes.every(size => Number.isInteger(size) && size >= MIN_HOSTS && size <= MAX_HOSTS) ? sizes : undefined
}

export const membersCommand = defineCommand({
  meta: { name: 'members', description: 'Run the members of one fleet in this process, without requests, and print what each costs. Example: pepperwood-load members --hosts 18,60,120' },
  args: {
    hosts: { type: 'string', default: '18,60,120', description: `sizes of the fleet, ${MIN_HOSTS} to ${MAX_HOSTS}` }
  },
  async run ({ args }) {
    const sizes = parseHosts(args.hosts)
    if (sizes === undefined) {
      process.stderr.write(`--hosts: expected whole numbers from ${MIN_HOSTS} to ${MAX_HOSTS}, such as 18,60\n`)
      process.exit(exitCodes.usage)
    }
    process.stdout.write('| hosts | phase | % of a core | bytes/s out | links opened | suspicions |\n| --- | --- | --- | --- | --- | --- |\n')
    for (const hosts of sizes) for (const cost of await new MemberBench({ hosts }).run()) process.stdout.write(`${formatCost(cost)}\n`)
    process.exit(exitCodes.ok)
  }
})
