/**
 * Sends one attempt to one upstream and aborts it if no data is received within the silence timeout.
 */
import { Effect } from 'effect'
import type { IClock } from '../../../base/common/clock.ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import type { UpstreamAdapter, UpstreamCall, UpstreamOutcome } from '../../upstream/common/upstreamAdapter.ts'

export interface AttemptRunnerOptions {
  readonly clock: IClock
  readonly adapter: UpstreamAdapter
}

/** The outcome of an attempt, and whether this process aborted it after the silence timeout. */
export interface AttemptResult {
  readonly outcome: UpstreamOutcome
  readonly isTimedOut: boolean
}

/** Runs the call. On interruption or timeout the call is aborted and, if it was sent, a cancel request goes to the upstream. */
export function runAttempt (options: AttemptRunnerOptions, call: Omit<UpstreamCall, 'signal'>, silenceTimeoutMs: number): Effect.Effect<AttemptResult> {
  const { adapter, clock } = options
  return Effect.async<AttemptResult>(resume => {
    const abort = new AbortController()
    let isSent = false
    let lastReceivedAt = clock.now()
    let isCompleted = false
    const complete = (outcome: UpstreamOutcome, isTimedOut: boolean) => {
      if (isCompleted) return
      isCompleted = true
      timer.dispose()
      resume(Effect.succeed({ outcome, isTimedOut }))
    }
    const cancelCall = () => {
      abort.abort()
      if (isSent) adapter.cancel(call.upstream, call.attemptId).catch(() => {})
    }
    const checkSilence = () => {
      const silenceMs = clock.now() - lastReceivedAt
      if (silenceMs < silenceTimeoutMs) {
        timer = clock.schedule(silenceTimeoutMs - silenceMs, checkSilence)
        return
      }
      cancelCall()
      complete({ kind: 'lost', error: createSilenceTimeoutError(call, silenceTimeoutMs) }, true)
    }
    let timer = clock.schedule(silenceTimeoutMs, checkSilence)
    adapter.call({
      ...call,
      signal: abort.signal,
      onWillSend: () => {
        if (isCompleted || !call.onWillSend()) return false
        isSent = true
        return true
      },
      onDidReceiveText: (text, index) => {
        lastReceivedAt = clock.now()
        if (!isCompleted) call.onDidReceiveText(text, index)
      }
    }).then(
      outcome => complete(outcome, false),
      thrown => complete({ kind: 'lost', error: new PepperwoodError({ name: 'internal', message: String(thrown), place: call.upstream.name }) }, false)
    )
    return Effect.sync(() => {
      if (isCompleted) return
      isCompleted = true
      timer.dispose()
      cancelCall()
    })
  })
}

function createSilenceTimeoutError (call: Pick<UpstreamCall, 'upstream'>, silenceTimeoutMs: number): PepperwoodError {
  return new PepperwoodError({
    name: 'upstreamConnectionLost',
    message: `no data received for ${Math.round(silenceTimeoutMs)} ms`,
    place: call.upstream.name
  })
}
