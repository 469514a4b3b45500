/**
 * `pepperwood-load relay`: the relays of a fleet as a process of their own. Cuts come as lines on stdin.
 */
import { readFileSync } from 'node:fs'
import { createInterface } from 'node:readline'
import { defineCommand } from 'citty'
import type { RelayPlan } from './fleetPlan.ts'
import { RelaySet } from './relay.ts'

/** What the relay process is given, as JSON. */
export interface RelayFile {
  readonly relays: readonly RelayPlan[]
  readonly halls: readonly (readonly [string, string])[]
  readonly hallRttMs: number
  readonly clientRttMs: number
}

export const relayCommand = defineCommand({
  meta: { name: 'relay', description: 'Run the relays of a fleet; started by `run`' },
  args: { file: { type: 'positional', required: true, description: 'The relays, as JSON' } },
  async run ({ args }) {
    const file = JSON.parse(readFileSync(args.file, 'utf8')) as RelayFile
    const relays = new RelaySet({ ...file, halls: new Map(file.halls) })
    await relays.start()
    process.stdout.write('listening\n')
    const lines = createInterface({ input: process.stdin })
    lines.on('line', line => {
      const [action, hall = ''] = line.split(' ')
      if (action === 'cut') relays.cut(hall)
      else if (action === 'heal') relays.heal(hall)
    })
    lines.on('close', () => process.exit(0))
  }
})
