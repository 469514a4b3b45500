/**
 * Entry point of `pepperwood-load`, the load generator and benchmark tool for development.
 */
import { defineCommand, runMain } from 'citty'
import { benchCommand } from './benchCommand.ts'
import { labCommand } from './labCommand.ts'
import { compareCommand } from './compareCommand.ts'
import { membersCommand } from './membersCommand.ts'
import { relayCommand } from './relayCommand.ts'
import { slopesCommand } from './slopesCommand.ts'
import { runCommand } from './runCommand.ts'

const command = defineCommand({
  meta: {
    name: 'pepperwood-load',
    description: 'Send load to a fleet that it starts on loopback, and measure. Exit codes: 0 correct, 1 a counter that must be 0 is not, 2 wrong usage'
  },
  subCommands: { run: runCommand, compare: compareCommand, bench: benchCommand, slopes: slopesCommand, relay: relayCommand, lab: labCommand, members: membersCommand }
})

void runMain(command)
