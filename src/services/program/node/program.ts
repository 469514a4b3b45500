/**
 * Startup and shutdown shared by all programs: command line, environment checks, settings, signals and exit codes.
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
  /** The command ran, and the result is negative, such as a refused request or an invalid document. */
  refused: 1,
  /** The command line, the settings or the environment are invalid. */
  usage: 2,
  /** The remote process could not be reached. */
  unreachable: 3
} as const

const MAX_SEED = 2 ** 31 - 1

/** The server that a process runs. */
export interface IServerProgram extends IDisposable {
  /** The process exits when this fires. */
  readonly onDidStop: Event<void>
  start (): Promise<void>
  stop (): Promise<void>
}

/** The dependencies passed to every server program. */
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

/** Returns an error if the environment enables io_uring in libuv, which the programs must not use. */
export function checkEnvironment (environment: Readonly<Record<string, string | undefined>>): PepperwoodError | undefined {
  const value = environment.UV_USE_IO_URING
  if (value === undefined || value === '' || value === '0') return undefined
  return new PepperwoodError({ name: 'settingsInvalid', message: 'io_uring must not be enabled', place: 'environment: UV_USE_IO_URING', value })
}

export function createRandom (): IRandom {
  return new SeededRandom(randomInt(MAX_SEED))
}

/** Writes the error to stderr and ends the process. */
export function exitWith (error: PepperwoodError, code: number): never {
  process.stderr.write(`${error.toString()}\n`)
  process.exit(code)
}

async function runServer<S, I> (options: ServerProgramOptions<S, I>, file: string): Promise<void> {
  const environmentError = checkEnvironment(process.env)
  if (environmentError !== undefined) exitWith(environmentError, exitCodes.usage)
  const loadedSettings = loadSettings(file, options.schema)
  loadedSettings.ifLeft(error => exitWith(error, exitCodes.usage))
  const log = new LogService({ program: options.name })
  const server = options.create({
    settings: loadedSettings.unsafeCoerce(),
    clock: new SystemClock(),
    random: createRandom(),
    log,
    // The only use of wall-clock time: distinguishes and orders successive process instances at one address.
    incarnation: Date.now()
  })
  // An unhandled rejection in one request must not end the process and with it all other requests.
  process.on('unhandledRejection', thrown => log.error('internal', { reason: String(thrown) }))
  server.onDidStop(() => process.exit(exitCodes.ok))
  for (const signal of ['SIGTERM', 'SIGINT'] as const) process.on(signal, () => { void server.stop() })
  try {
    await server.start()
  } catch (thrown) {
    exitWith(toPepperwoodError(thrown), exitCodes.usage)
  }
}

/** Parses the command line and runs a server program until it is stopped. */
export function runServerProgram<S, I> (options: ServerProgramOptions<S, I>): void {
  const command = defineCommand({
    meta: { name: options.name, description: options.description },
    args: { settings: { type: 'string', required: true, description: 'The settings file (TOML)', valueHint: 'FILE' } },
    run: ({ args }) => runServer(options, args.settings)
  })
  void runMain(command)
}
