/**
 * Structured logging: writes each event as one line of key=value pairs through consola.
 */
// The whole of consola also loads its terminal reporters and prompts, which took a sixth of the time of loading a node.
import { createConsola } from 'consola/core'
import type { ConsolaInstance } from 'consola/core'
import { Emitter } from '../../../base/common/event.ts'
import type { Event } from '../../../base/common/event.ts'
import { startInterval } from '../../../base/node/interval.ts'
import type { LineBudget } from '../common/lineBudget.ts'

export type LogFields = Readonly<Record<string, string | number | boolean>>

/** A logged event and its formatted line, without the time. */
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
  /** Prints nothing; `onDidLog` still fires. */
  readonly silent?: boolean
  /** Defaults to standard error. */
  readonly stream?: { write (line: string): unknown }
  /** Limits the lines of each event; unlimited if not set. */
  readonly budget?: LineBudget
}

/** How often the counts of dropped lines are logged. */
const DROPPED_REPORT_PERIOD_MS = 5000
const UNQUOTED_VALUE = /^[\w.:/@+-]*$/

function formatValue (value: string | number | boolean): string {
  const text = String(value)
  return UNQUOTED_VALUE.test(text) && text !== '' ? text : JSON.stringify(text)
}

/** Formats an event as one line; keys keep the order of the fields. */
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
    if (options.budget !== undefined) startInterval(DROPPED_REPORT_PERIOD_MS, () => this._reportDroppedLines())
    const stream = options.stream ?? process.stderr
    this._sink = createConsola({
      level: options.silent === true ? -999 : 3,
      reporters: [{
        log: entry => { stream.write(`time=${entry.date.toISOString()} ${entry.args.join(' ')}\n`) }
      }]
    })
  }

  info (event: string, fields: LogFields = {}): void {
    if (this._tryAcquire(event, false)) this._sink.info(this._record('info', event, fields))
  }

  warn (event: string, fields: LogFields = {}): void {
    if (this._tryAcquire(event, true)) this._sink.warn(this._record('warn', event, fields))
  }

  error (event: string, fields: LogFields = {}): void {
    if (this._tryAcquire(event, true)) this._sink.error(this._record('error', event, fields))
  }

  private _tryAcquire (event: string, isFailure: boolean): boolean {
    return this._budget === undefined || this._budget.tryAcquire(event, isFailure)
  }

  private _reportDroppedLines (): void {
    for (const { event, count } of this._budget?.collectDroppedLines() ?? []) this._sink.warn(this._record('warn', 'lines_left_out', { of: event, count }))
  }

  /** Formats the line and fires `onDidLog`. */
  private _record (level: string, event: string, fields: LogFields): string {
    const line = formatLine(level, this._program, event, fields)
    this._onDidLog.fire({ name: event, line })
    return line
  }
}
