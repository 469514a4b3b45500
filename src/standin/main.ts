/**
 * The program `pepperwood-standin`, for development and experiments only.
 */
import { runServerProgram } from '../services/program/node/program.ts'
import { Standin } from './standin.ts'
import { StandinSettingsSchema } from './standinSettings.ts'

runServerProgram({
  name: 'pepperwood-standin',
  description: 'Simulates the platform, model engines and services for development and tests',
  schema: StandinSettingsSchema,
  create: context => new Standin(context)
})
