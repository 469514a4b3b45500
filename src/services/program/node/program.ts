/**
 * What the programs share: how they start, which settings of the environment they refuse, and how they end.
 */
import { randomInt } from 'node:crypto'
import { defineCommand, runMain } from 'citty'
import type { Schema } from 'effect'
import type { IDisposable } from '../../../base/common/disposable.ts'
import type { Event } from '../../../base/common/event.ts'
import { SeededRandom } from '../../../base/common/random.ts'
import type { IRandom } from '../../../base/common/random.ts'
import { SystemClock } from '../../../base/node/systemClock.ts'
import { LogService } from '../../log/node/logger.ts'
import type { ILogService } from '../../log/node/logger.ts'
import { PepperwoodError, toPepperwoodError } from '../../result/common/pepperwoodError.ts'
import { loadSettings } from '../../settings/node/settingsFile.ts'

/** Exit codes of all programs. */
export const exitCodes = {
  ok: 0,
  /** The work was done and found something wrong, such as a refused request or an invalid document. */
  refused: 1,
  /** The command line, the settings or the environment are wrong. */
  usage: 2,
  /** The other side could not be reached. */
  unreachable: 3
} as const

const MAX_SEED = 2 ** 31 - 1

/** A server of one process, as the start-up code sees it. */
export interface IServerProgram extends IDisposable {
  readonly onDidStop: Event<void>
  start (): Promise<void>
  stop (): Promise<void>
}

/** What every server program is built from. */
export interface ServerContext<S> {
  readonly settings: S
  readonly clock: SystemClock
  readonly random: IRandom
  readonly log: ILogService
  readonly incarnation: number
}

export interface ServerProgramOptions<S, I> {
  readonly name: string
  readonly description: string
  readonly schema: Schema.Schema<S, I>
  readonly create: (context: ServerContext<S>) => IServerProgram
}

/** The system's programs do not use io_uring, and refuse to start where it is switched on. */
export function checkEnvironment (environment: Readonly<Record<string, string | undefined>>): PepperwoodError | undefined {
  const value = environment.UV_USE_IO_URING
  if (value === undefined || value === '' || value === '0') return undefined
  return new PepperwoodError({ name: 'settingsInvalid', message: 'io_uring must not be switched on', place: 'environment: UV_USE_IO_URING', value })
}

export function createRandom (): IRandom {
  return new SeededRandom(randomInt(MAX_SEED))
}

/** Ends the process with an error on stderr. */
export function exitWith (error: PepperwoodError, code: number): never {
  process.stderr.write(`${error.toString()}\n`)
  process.exit(code)
}

async function runServer<S, I> (options: ServerProgramOptions<S, I>, file: string): Promise<void> {
  const refused = checkEnvironment(process.env)
  if (refused !== undefined) exitWith(refused, exitCodes.usage)
  const loaded = loadSettings(file, options.schema)
  loaded.ifLeft(error => exitWith(error, exitCodes.usage))
  const log = new LogService({ program: options.name })
  const server = options.create({
    settings: loaded.unsafeCoerce(),
    clock: new SystemClock(),
    random: createRandom(),
    log,
    // The only use of wall time: boots at one address are told apart and ordered by it.
    incarnation: Date.now()
  })
  // A defect in one request must not end the others.
  process.on('unhandledRejection', thrown => log.error('internal', { reason: String(thrown) }))
  server.onDidStop(() => process.exit(exitCodes.ok))
  for (const signal of ['SIGTERM', 'SIGINT'] as const) process.on(signal, () => { void server.stop() })
  try {
    await server.start()
  } catch (thrown) {
    exitWith(toPepperwoodError(thrown), exitCodes.usage)
  }
}

/** Runs a server program from its command line. */
export function runServerProgram<S, I> (options: ServerProgramOptions<S, I>): void {
  const command = defineCommand({
    meta: { name: options.name, description: options.description },
    args: { settings: { type: 'string', required: true, description: 'The settings file (TOML)', valueHint: 'FILE' } },
    run: ({ args }) => runServer(options, args.settings)
  })
  void runMain(command)
}
