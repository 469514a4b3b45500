/**
 * The RequestService of a gate: checks what comes in, and turns typed errors into refusals.
 */
import { create } from '@bufbuild/protobuf'
import type { MessageInitShape } from '@bufbuild/protobuf'
import type { ServiceImpl } from '@connectrpc/connect'
import type { Either } from 'purify-ts'
import { AnswerEventSchema, CancelResponseSchema, Execution, OpenSessionResponseSchema, RefusalSchema } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import type { AnswerEvent, RequestService, Refusal } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import type { PepperwoodError } from '../services/result/common/pepperwoodError.ts'
import type { ConfigurationNumber } from '../services/configuration/common/configurationNumber.ts'
import type { ExecutionState } from '../services/session/common/attemptLog.ts'
import type { RequestRun, RunOutcome } from '../services/session/common/requestRun.ts'
import type { GateRequests, RefusedRequest } from './gateRequests.ts'

const EXECUTIONS: Readonly<Record<ExecutionState, Execution>> = {
  notRun: Execution.NOT_RUN,
  mayHaveRun: Execution.MAY_HAVE_RUN,
  incomplete: Execution.INCOMPLETE
}

type EventInit = MessageInitShape<typeof AnswerEventSchema>['event']

function createEvent (event: EventInit): AnswerEvent {
  return create(AnswerEventSchema, { event })
}

/** Results that say nothing about whether the request ran: another process, or this one before, may know. */
const OPEN_RESULTS: ReadonlySet<string> = new Set(['outcomeForgotten', 'sessionUnknown', 'sessionElsewhere', 'numberReused', 'requestUnknown'])

/** What a refusal may claim when this process has started nothing for the request. */
function chooseExecution (error: PepperwoodError): Execution {
  return OPEN_RESULTS.has(error.resultName) ? Execution.MAY_HAVE_RUN : Execution.NOT_RUN
}

export function createRefusal (refused: RefusedRequest): Refusal {
  const { error, retryAfterMs, gates } = refused
  return create(RefusalSchema, {
    code: error.code,
    name: error.resultName,
    message: error.message,
    place: error.place,
    value: error.value,
    execution: chooseExecution(error),
    retryAfterMs,
    gates: [...gates]
  })
}

export function createEndEvent (run: RequestRun, end: RunOutcome): AnswerEvent {
  if (end.kind === 'whole') {
    return createEvent({ case: 'end', value: { chunkCount: run.chunks.length, digest: end.digest, costs: [...end.costs] } })
  }
  const { error, execution, retryAfterMs, gates, costs } = end
  return createEvent({
    case: 'refusal',
    value: {
      code: error.code,
      name: error.resultName,
      message: error.message,
      place: error.place,
      value: error.value,
      execution: EXECUTIONS[execution],
      retryAfterMs,
      checkpoint: run.checkpoint?.sealed,
      gates: [...gates],
      costs: [...costs]
    }
  })
}

/** Follows a run to its end. A caller that goes away does not stop the run; it may come back and attach. */
async function * followRun (run: RequestRun, fromChunk: number, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
  let index = fromChunk
  let checkpointSent = 0
  let wake = () => {}
  const subscription = run.onDidChange(() => wake())
  signal.addEventListener('abort', () => wake(), { once: true })
  try {
    while (!signal.aborted) {
      const changed = new Promise<void>(resolve => { wake = resolve })
      const checkpoint = run.checkpoint
      if (checkpoint !== undefined && checkpoint.stagesDone > checkpointSent && run.outcome === undefined) {
        checkpointSent = checkpoint.stagesDone
        yield createEvent({ case: 'checkpoint', value: { sealed: checkpoint.sealed, stagesDone: checkpoint.stagesDone } })
      }
      for (; index < run.chunks.length; index++) {
        yield createEvent({ case: 'chunk', value: { index, text: run.chunks[index] ?? '' } })
      }
      if (run.outcome !== undefined && index >= run.chunks.length) {
        yield createEndEvent(run, run.outcome)
        return
      }
      if (run.outcome === undefined) await changed
    }
  } finally {
    subscription.dispose()
  }
}

export function createRequestHandlers (requests: GateRequests): ServiceImpl<typeof RequestService> {
  return {
    locate (request) {
      return requests.locate(request)
    },
    async openSession (request) {
      const opened = await requests.openSession(request)
      return opened
        .map(session => create(OpenSessionResponseSchema, { outcome: { case: 'session', value: session } }))
        .mapLeft(refused => create(OpenSessionResponseSchema, { outcome: { case: 'refusal', value: createRefusal(refused) } }))
        .extract()
    },
    async * submit (request, context) {
      yield * answer(requests.submit(request), 0, requests.configurationNumber, context.signal)
    },
    async * attach (request, context) {
      yield * answer(requests.findRun(request), request.fromChunk, requests.configurationNumber, context.signal)
    },
    cancel (request) {
      return requests.findRun(request)
        .map(run => {
          const wasRunning = run.outcome === undefined
          run.abortController.abort()
          return create(CancelResponseSchema, { outcome: { case: 'cancelled', value: { wasRunning } } })
        })
        .mapLeft(refused => create(CancelResponseSchema, { outcome: { case: 'refusal', value: createRefusal(refused) } }))
        .extract()
    }
  }
}

async function * answer (found: Either<RefusedRequest, RequestRun>, fromChunk: number, configuration: ConfigurationNumber, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
  const run = found.toMaybe().extractNullable()
  const refused = found.swap().toMaybe().extractNullable()
  if (refused !== null) yield createEvent({ case: 'refusal', value: createRefusal(refused) })
  if (run === null) return
  yield createEvent({ case: 'accepted', value: { requestId: run.requestId, configuration } })
  yield * followRun(run, fromChunk, signal)
}
