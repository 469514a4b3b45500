/**
 * The program `pepperwood-gate`.
 */
import { runServerProgram } from '../services/program/node/program.ts'
import { Gate } from './gate.ts'
import { GateSettingsSchema } from './gateSettings.ts'

runServerProgram({
  name: 'pepperwood-gate',
  description: 'Owns requests, runs their stages and streams their answers',
  schema: GateSettingsSchema,
  create: context => new Gate(context)
})
