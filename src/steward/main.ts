/**
 * The program `pepperwood-steward`.
 */
import { runServerProgram } from '../services/program/node/program.ts'
import { Steward } from './steward.ts'
import { StewardSettingsSchema } from './stewardSettings.ts'

runServerProgram({
  name: 'pepperwood-steward',
  description: 'Reads the configuration, watches upstreams and members, and pushes its view to gates',
  schema: StewardSettingsSchema,
  create: context => new Steward(context)
})
