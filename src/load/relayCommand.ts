/**
 * `pepperwood-load relay`: runs the relays of a fleet in a separate process. The lines `cut HALL` and `heal HALL` on stdin
 * partition a hall and reconnect it.
 */
import { readFileSync } from 'node:fs'
import { createInterface } from 'node:readline'
import { defineCommand } from 'citty'
import type { RelayPlan } from './fleetPlan.ts'
import { RelaySet } from './relay.ts'

/** Content of the JSON file that the relay process reads. */
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
      if (action === 'cut') relays.disconnect(hall)
      else if (action === 'heal') relays.reconnect(hall)
    })
    lines.on('close', () => process.exit(0))
  }
})
