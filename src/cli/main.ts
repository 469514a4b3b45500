/**
 * The program `pepperwood`: the command line for operators and callers.
 */
import { defineCommand, runMain } from 'citty'
import { checkCommand, configCommand } from './checkCommands.ts'
import { demoCommand } from './demoCommand.ts'
import { drainCommand, dumpCommand, explainCommand, watchCommand } from './operatorCommands.ts'
import { locateCommand, submitCommand } from './requestCommands.ts'

const command = defineCommand({
  meta: {
    name: 'pepperwood',
    description: 'Operate and inspect a pepperwood fleet. Exit codes: 0 success, 1 refused or problems found, 2 usage error, 3 unreachable'
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
