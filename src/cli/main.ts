/**
 * The program `pepperwood`: the operator's and the caller's command line.
 */
import { defineCommand, runMain } from 'citty'
import { demoCommand } from './demoCommand.ts'

const command = defineCommand({
  meta: { name: 'pepperwood', description: 'Drive and inspect a pepperwood fleet' },
  subCommands: { demo: demoCommand }
})

void runMain(command)
