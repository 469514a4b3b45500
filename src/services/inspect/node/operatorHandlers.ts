/**
 * Handlers of the OperatorService RPC interface, used by gates and stewards.
 */
import { create } from '@bufbuild/protobuf'
import type { ServiceImpl } from '@connectrpc/connect'
import { DecisionSchema, ProblemSchema } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { OperatorService, Problem, ProcessEvent } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { IClock } from '../../../base/common/clock.ts'
import { checkDocument } from '../../configuration/common/configurationDocument.ts'
import type { IConfigurationService } from '../../configuration/common/configurationService.ts'
import type { ILogService, LogEvent } from '../../log/node/logger.ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import type { IProcessInspector } from '../common/processInspector.ts'

export interface OperatorHandlersOptions {
  readonly clock: IClock
  readonly configuration: IConfigurationService
  readonly inspector: IProcessInspector
  readonly log: ILogService
}

/** A watcher that reads more slowly than events arrive misses new events while this many are queued. */
const MAX_QUEUED_EVENTS = 1000

function createProblem (error: PepperwoodError): Problem {
  return create(ProblemSchema, { code: error.code, name: error.resultName, path: error.place, value: error.value, message: error.message })
}

export function createOperatorHandlers (options: OperatorHandlersOptions): ServiceImpl<typeof OperatorService> {
  const { clock, configuration, inspector, log } = options
  return {
    checkConfiguration (request) {
      return { problems: checkDocument(request.document).map(createProblem) }
    },
    getConfiguration () {
      const current = configuration.current
      if (current === undefined) return {}
      return { configuration: current.configuration, source: current.source, ageMs: Math.round(clock.now() - current.acceptedAt) }
    },
    dump () {
      return { json: JSON.stringify(inspector.dump()) }
    },
    explain (request) {
      const { decisions, costs } = inspector.explain(request.requestId)
      if (decisions.length === 0) {
        const error = new PepperwoodError({ name: 'requestUnknown', message: 'this process has no recorded decisions about the request', place: 'requestId', value: request.requestId })
        return { problem: createProblem(error) }
      }
      const now = clock.now()
      return { decisions: decisions.map(({ at, subject, ...decision }) => create(DecisionSchema, { ...decision, ageMs: Math.round(now - at) })), costs: [...costs] }
    },
    drain () {
      return inspector.drain()
    },
    watchEvents (_request, context) {
      return followEvents(log, context.signal)
    }
  }
}

async function * followEvents (log: ILogService, signal: AbortSignal): AsyncGenerator<Pick<ProcessEvent, 'name' | 'line'>> {
  const queued: LogEvent[] = []
  let wake = () => {}
  const subscription = log.onDidLog(event => {
    if (queued.length < MAX_QUEUED_EVENTS) queued.push(event)
    wake()
  })
  signal.addEventListener('abort', () => wake(), { once: true })
  try {
    while (!signal.aborted) {
      const event = queued.shift()
      if (event !== undefined) yield event
      else await new Promise<void>(resolve => { wake = resolve })
    }
  } finally {
    subscription.dispose()
  }
}
