/**
 * Sends one attempt to one upstream and gives it up when it stays silent for too long.
 */
import { Effect } from 'effect'
import type { IClock } from '../../../base/common/clock.ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import type { UpstreamAdapter, UpstreamCall, UpstreamOutcome } from '../../upstream/common/upstreamAdapter.ts'

export interface AttemptRunnerOptions {
  readonly clock: IClock
  readonly adapter: UpstreamAdapter
}

/** An outcome, and whether it was this side that gave up. */
export interface AttemptResult {
  readonly outcome: UpstreamOutcome
  readonly gaveUp: boolean
}

/** Runs the call; on interruption the upstream is told to stop what was sent. */
export function runAttempt (options: AttemptRunnerOptions, call: Omit<UpstreamCall, 'signal'>, maxSilenceMs: number): Effect.Effect<AttemptResult> {
  const { adapter, clock } = options
  return Effect.async<AttemptResult>(resume => {
    const abort = new AbortController()
    let wasSent = false
    let lastHeardAt = clock.now()
    let isOver = false
    const end = (outcome: UpstreamOutcome, gaveUp: boolean) => {
      if (isOver) return
      isOver = true
      timer.dispose()
      resume(Effect.succeed({ outcome, gaveUp }))
    }
    const stop = () => {
      abort.abort()
      if (wasSent) adapter.cancel(call.upstream, call.attemptId).catch(() => {})
    }
    const checkSilence = () => {
      const silentMs = clock.now() - lastHeardAt
      if (silentMs < maxSilenceMs) {
        timer = clock.schedule(maxSilenceMs - silentMs, checkSilence)
        return
      }
      stop()
      end({ kind: 'lost', error: createSilent(call, maxSilenceMs) }, true)
    }
    let timer = clock.schedule(maxSilenceMs, checkSilence)
    adapter.call({
      ...call,
      signal: abort.signal,
      onWillSend: () => {
        if (isOver || !call.onWillSend()) return false
        wasSent = true
        return true
      },
      onDidReceiveText: (text, index) => {
        lastHeardAt = clock.now()
        if (!isOver) call.onDidReceiveText(text, index)
      }
    }).then(
      outcome => end(outcome, false),
      thrown => end({ kind: 'lost', error: new PepperwoodError({ name: 'internal', message: String(thrown), place: call.upstream.name }) }, false)
    )
    return Effect.sync(() => {
      if (isOver) return
      isOver = true
      timer.dispose()
      stop()
    })
  })
}

function createSilent (call: Pick<UpstreamCall, 'upstream'>, maxSilenceMs: number): PepperwoodError {
  return new PepperwoodError({
    name: 'upstreamConnectionLost',
    message: `nothing came for ${Math.round(maxSilenceMs)} ms`,
    place: call.upstream.name
  })
}
