/**
 * The program `pepperwood`: the operator's and the caller's command line.
 */
import { defineCommand, runMain } from 'citty'
import { checkCommand, configCommand } from './checkCommands.ts'
import { demoCommand } from './demoCommand.ts'
import { drainCommand, dumpCommand, explainCommand, watchCommand } from './operatorCommands.ts'
import { locateCommand, submitCommand } from './requestCommands.ts'

const command = defineCommand({
  meta: {
    name: 'pepperwood',
    description: 'Drive and inspect a pepperwood fleet. Exit codes: 0 done, 1 refused or problems found, 2 wrong usage, 3 unreachable'
  },
  subCommands: {
    check: checkCommand,
    config: configCommand,
    demo: demoCommand,
    drain: drainCommand,
    dump: dumpCommand,
    explain: explainCommand,
    locate: locateCommand,
    submit: submitCommand,
    watch: watchCommand
  }
})

void runMain(command)
