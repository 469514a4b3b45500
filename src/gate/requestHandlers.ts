/**
 * Implements the RequestService of a gate: streams answers to callers and converts typed errors to refusals.
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

/** Results that do not show whether the request ran: another gate or an earlier submission may have run it. */
const INCONCLUSIVE_RESULTS: ReadonlySet<string> = new Set(['outcomeForgotten', 'sessionUnknown', 'sessionElsewhere', 'numberReused', 'requestUnknown'])

/** Returns the execution state to report for a request that this gate did not start. */
function chooseExecution (error: PepperwoodError): Execution {
  return INCONCLUSIVE_RESULTS.has(error.resultName) ? Execution.MAY_HAVE_RUN : Execution.NOT_RUN
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

export function createOutcomeEvent (run: RequestRun, outcome: RunOutcome): AnswerEvent {
  if (outcome.kind === 'whole') {
    return createEvent({ case: 'end', value: { chunkCount: run.chunks.length, digest: outcome.digest, costs: [...outcome.costs] } })
  }
  const { error, execution, retryAfterMs, gates, costs } = outcome
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
      checkpoint: run.checkpoint?.signedBytes,
      gates: [...gates],
      costs: [...costs]
    }
  })
}

/** Streams the events of a run until it ends. A disconnected caller does not stop the run; it can attach to it later. */
async function * followRun (run: RequestRun, fromChunk: number, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
  let chunkIndex = fromChunk
  let stagesDoneSent = 0
  let wake = () => {}
  const subscription = run.onDidChange(() => wake())
  signal.addEventListener('abort', () => wake(), { once: true })
  try {
    while (!signal.aborted) {
      const nextChange = new Promise<void>(resolve => { wake = resolve })
      const checkpoint = run.checkpoint
      if (checkpoint !== undefined && checkpoint.stagesDone > stagesDoneSent && run.outcome === undefined) {
        stagesDoneSent = checkpoint.stagesDone
        yield createEvent({ case: 'checkpoint', value: { sealed: checkpoint.signedBytes, stagesDone: checkpoint.stagesDone } })
      }
      for (; chunkIndex < run.chunks.length; chunkIndex++) {
        yield createEvent({ case: 'chunk', value: { index: chunkIndex, text: run.chunks[chunkIndex] ?? '' } })
      }
      if (run.outcome !== undefined && chunkIndex >= run.chunks.length) {
        yield createOutcomeEvent(run, run.outcome)
        return
      }
      if (run.outcome === undefined) await nextChange
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
      yield * answerRequest(requests.submit(request), 0, requests.configurationNumber, context.signal)
    },
    async * attach (request, context) {
      yield * answerRequest(requests.findRun(request), request.fromChunk, requests.configurationNumber, context.signal)
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

async function * answerRequest (runOrRefusal: Either<RefusedRequest, RequestRun>, fromChunk: number, configuration: ConfigurationNumber, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
  const run = runOrRefusal.toMaybe().extractNullable()
  const refused = runOrRefusal.swap().toMaybe().extractNullable()
  if (refused !== null) yield createEvent({ case: 'refusal', value: createRefusal(refused) })
  if (run === null) return
  yield createEvent({ case: 'accepted', value: { requestId: run.requestId, configuration } })
  yield * followRun(run, fromChunk, signal)
}
