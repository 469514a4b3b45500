/**
 * `pepperwood check FILE` and `pepperwood config check FILE`: validate a file without applying it.
 */
import { readFileSync } from 'node:fs'
import { defineCommand } from 'citty'
import { GateSettingsSchema } from '../gate/gateSettings.ts'
import { checkDocument } from '../services/configuration/common/configurationDocument.ts'
import { isReadableValue } from '../services/configuration/node/platformReader.ts'
import { exitCodes, exitWith } from '../services/program/node/program.ts'
import { PepperwoodError } from '../services/result/common/pepperwoodError.ts'
import { loadSettings } from '../services/settings/node/settingsFile.ts'
import { LoadProfileSchema } from '../load/loadProfile.ts'
import { StandinSettingsSchema } from '../standin/standinSettings.ts'
import { StewardSettingsSchema } from '../steward/stewardSettings.ts'
import { jsonArgument, writeLine } from './commonArgs.ts'

const fileArgument = { type: 'positional', description: 'File to check', valueHint: 'FILE', required: true } as const

function checkSettingsFile (file: string, program: string): PepperwoodError | undefined {
  if (program === 'gate') return loadSettings(file, GateSettingsSchema).swap().toMaybe().extract()
  if (program === 'steward') return loadSettings(file, StewardSettingsSchema).swap().toMaybe().extract()
  if (program === 'standin') return loadSettings(file, StandinSettingsSchema).swap().toMaybe().extract()
  if (program === 'profile') return loadSettings(file, LoadProfileSchema).swap().toMaybe().extract()
  return new PepperwoodError({ name: 'settingsInvalid', message: 'expected gate, steward, standin or profile', place: '--program', value: program })
}

function reportProblemsAndExit (problems: readonly PepperwoodError[], file: string, isJson: boolean): never {
  if (isJson) writeLine(JSON.stringify({ file, problems: problems.map(({ code, resultName, place, value, message }) => ({ code, name: resultName, place, value, message })) }))
  else if (problems.length === 0) writeLine(`${file}: no problems`)
  else for (const problem of problems) process.stderr.write(`${problem.toString()}\n`)
  process.exit(problems.length === 0 ? exitCodes.ok : exitCodes.refused)
}

export const checkCommand = defineCommand({
  meta: { name: 'check', description: 'Check a settings file. Example: pepperwood check --program gate gate.toml' },
  args: {
    file: fileArgument,
    program: { type: 'string', description: 'Type of the file: settings of a gate, steward or standin, or a load profile (profile)', default: 'gate' },
    json: jsonArgument
  },
  run ({ args }) {
    const problem = checkSettingsFile(args.file, args.program)
    reportProblemsAndExit(problem === undefined ? [] : [problem], args.file, args.json)
  }
})

const configCheckCommand = defineCommand({
  meta: { name: 'check', description: 'Check a configuration document (JSON). Example: pepperwood config check configuration.json' },
  args: { file: fileArgument, json: jsonArgument },
  run ({ args }) {
    let text = ''
    try {
      text = readFileSync(args.file, 'utf8')
    } catch (thrown) {
      exitWith(new PepperwoodError({ name: 'configurationUnreadable', message: String(thrown), place: args.file }), exitCodes.usage)
    }
    const tooLong = isReadableValue(text) ? [] : [new PepperwoodError({ name: 'configurationUnreadable', message: 'too long to be read from the platform', place: 'document', value: String(text.length) })]
    reportProblemsAndExit([...tooLong, ...checkDocument(text)], args.file, args.json)
  }
})

export const configCommand = defineCommand({
  meta: { name: 'config', description: 'Check configuration documents' },
  subCommands: { check: configCheckCommand }
})
