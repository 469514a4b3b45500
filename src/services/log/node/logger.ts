/**
 * Structured logs: one line of key=value pairs for each event, written through consola.
 */
import { createConsola } from 'consola'
import type { ConsolaInstance } from 'consola'
import { Emitter } from '../../../base/common/event.ts'
import type { Event } from '../../../base/common/event.ts'
import { startInterval } from '../../../base/node/interval.ts'
import type { LineBudget } from '../common/lineBudget.ts'

export type LogFields = Readonly<Record<string, string | number | boolean>>

/** An event as it was logged. */
export interface LogEvent {
  readonly name: string
  readonly line: string
}

export interface ILogService {
  readonly onDidLog: Event<LogEvent>
  info (event: string, fields?: LogFields): void
  warn (event: string, fields?: LogFields): void
  error (event: string, fields?: LogFields): void
}

export interface LogServiceOptions {
  readonly program: string
  /** Nothing is printed, but events are still fired. */
  readonly silent?: boolean
  /** Where lines are written; standard error by default. */
  readonly stream?: { write (line: string): unknown }
  /** Bounds the lines of each event; without it all are written. */
  readonly budget?: LineBudget
}

/** How often it is told which lines were left out. */
const LEFT_OUT_PERIOD_MS = 5000
const PLAIN_VALUE = /^[\w.:/@+-]*$/

function formatValue (value: string | number | boolean): string {
  const text = String(value)
  return PLAIN_VALUE.test(text) && text !== '' ? text : JSON.stringify(text)
}

/** One event as a line; keys keep the order in which they are given. */
function formatLine (level: string, program: string, event: string, fields: LogFields): string {
  const pairs = Object.entries({ level, program, event, ...fields })
  return pairs.map(([key, value]) => `${key}=${formatValue(value)}`).join(' ')
}

export class LogService implements ILogService {
  private readonly _program: string
  private readonly _sink: ConsolaInstance
  private readonly _budget: LineBudget | undefined
  private readonly _onDidLog = new Emitter<LogEvent>()
  readonly onDidLog = this._onDidLog.event

  constructor (options: LogServiceOptions) {
    this._program = options.program
    this._budget = options.budget
    if (options.budget !== undefined) startInterval(LEFT_OUT_PERIOD_MS, () => this._reportLeftOut())
    const stream = options.stream ?? process.stderr
    this._sink = createConsola({
      level: options.silent === true ? -999 : 3,
      reporters: [{
        log: entry => { stream.write(`time=${entry.date.toISOString()} ${entry.args.join(' ')}\n`) }
      }]
    })
  }

  info (event: string, fields: LogFields = {}): void {
    if (this._mayWrite(event, false)) this._sink.info(this._record('info', event, fields))
  }

  warn (event: string, fields: LogFields = {}): void {
    if (this._mayWrite(event, true)) this._sink.warn(this._record('warn', event, fields))
  }

  error (event: string, fields: LogFields = {}): void {
    if (this._mayWrite(event, true)) this._sink.error(this._record('error', event, fields))
  }

  private _mayWrite (event: string, isFailure: boolean): boolean {
    return this._budget === undefined || this._budget.take(event, isFailure)
  }

  private _reportLeftOut (): void {
    for (const { event, count } of this._budget?.takeLeftOut() ?? []) this._sink.warn(this._record('warn', 'lines_left_out', { of: event, count }))
  }

  private _record (level: string, event: string, fields: LogFields): string {
    const line = formatLine(level, this._program, event, fields)
    this._onDidLog.fire({ name: event, line })
    return line
  }
}
