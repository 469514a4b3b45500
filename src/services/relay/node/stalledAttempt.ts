/**
 * Lets another upstream take over from an attempt that has stalled. Everything that the new attempt needs is obtained first.
 * The stalled one goes on meanwhile and, for a short time, beside the new one; the first of the two to produce output answers
 * the caller.
 */
import { DisposableStore } from '../../../base/common/disposable.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import { createStalledOutcome, decideOnStall, isResponsive } from '../common/stallDecision.ts'
import type { StallInputs, WaitReason } from '../common/stallDecision.ts'
import { computeCallerPatienceMs } from '../common/attemptTimeouts.ts'
import type { AcceptedRequest } from './acceptedRequest.ts'
import type { RelayContext } from './relayContext.ts'
import type { RequestInputs } from './requestInputs.ts'
import type { RequestQuarantine } from './requestQuarantine.ts'
import type { RequestRetries } from './requestRetries.ts'
import type { SentAttempt } from './sentAttempt.ts'
import type { UpstreamSelector } from './upstreamSelector.ts'

export interface StalledAttemptOptions {
  readonly context: RelayContext
  readonly accepted: AcceptedRequest
  readonly inputs: RequestInputs
  readonly quarantine: RequestQuarantine
  readonly retries: RequestRetries
  readonly selector: UpstreamSelector
  /** What the run knows that decides whether another attempt may follow, the stalled one counted among those that ran. */
  readonly getDecisionInputs: () => Omit<StallInputs, 'hasBegun' | 'silentMs' | 'callerPatienceMs' | 'hasResponsive'>
  /** Sends the request; the run counts the attempt. */
  readonly send: (upstream: UpstreamEntry) => SentAttempt
  /** Called with the attempt of the two that does not go on, once it has ended. */
  readonly onDidEndAttempt: (attempt: SentAttempt) => Promise<void>
}

/** What became of a stalled attempt: the reason why it goes on alone, or the end of the time beside its replacement. */
type StallResult = WaitReason | 'withheld' | 'budget' | 'preparation' | 'noUpstream' | 'resumed' | 'replacementEnded' | 'replaced'

/** Both upstreams may run the request for this time; the first one has to learn of its end soon after the second one began. */
const OVERLAP_MS = 250
/** After a refusal nothing is asked for again for this time, so that stalled attempts do not press what is overloaded. */
const REFUSAL_PAUSE_MS = 500

export class StalledAttempt {
  private readonly _options: StalledAttemptOptions
  private _lastResult: StallResult | undefined
  /** Nothing is asked for before this time, on this process's clock. */
  private _retryAt = -Infinity

  constructor (options: StalledAttemptOptions) {
    this._options = options
  }

  /** Resolves with the attempt that takes over, or with the stalled one if it goes on. */
  async replace (stalled: SentAttempt): Promise<SentAttempt> {
    const { context: { clock }, accepted: { answer }, inputs, retries } = this._options
    if (clock.now() < this._retryAt) return stalled
    if (!retries.maySend) return this._resumeAlone(stalled, 'withheld', REFUSAL_PAUSE_MS)
    const stalledAt = stalled.lastOutputAt
    const isStalled = () => stalled.lastOutputAt === stalledAt && !stalled.hasEnded
    const decision = decideOnStall(this._createInputs(stalled))
    if (decision.kind === 'wait') return this._resumeAlone(stalled, decision.reason)
    const next = retries.acquire(decision.decision, createStalledOutcome(answer.hasBegun))
    if (!next.isAllowed) return this._resumeAlone(stalled, 'budget', REFUSAL_PAUSE_MS)
    const refusal = inputs.hasReleasedResults ? await inputs.prepareAgain() : undefined
    if (refusal !== undefined) return this._resumeAlone(stalled, 'preparation', Math.max(REFUSAL_PAUSE_MS, refusal.retryAfterMs))
    const upstream = isStalled() ? await this._acquireUpstream(stalled) : undefined
    if (!isStalled()) return this._resumeAlone(stalled, 'resumed')
    if (!retries.maySend) return this._resumeAlone(stalled, 'withheld', REFUSAL_PAUSE_MS)
    return upstream === undefined ? this._resumeAlone(stalled, 'noUpstream', REFUSAL_PAUSE_MS) : await this._sendTo(upstream, stalled)
  }

  private _createInputs (stalled: SentAttempt): StallInputs {
    const { accepted: { answer, route }, getDecisionInputs } = this._options
    return {
      ...getDecisionInputs(),
      hasBegun: answer.hasBegun,
      silentMs: stalled.silentMs,
      callerPatienceMs: computeCallerPatienceMs(route),
      hasResponsive: this._listResponsive(stalled).length > 0
    }
  }

  /** Upstreams that could resume the stream and have produced output while the stalled one was silent. */
  private _listResponsive ({ silentMs }: SentAttempt): readonly UpstreamEntry[] {
    const { context: { pool }, selector } = this._options
    return selector.listUntried().filter(({ id }) => isResponsive(pool.getSilenceMs(id), silentMs))
  }

  private async _acquireUpstream (stalled: SentAttempt): Promise<UpstreamEntry | undefined> {
    const { accepted: { answer }, selector, quarantine: { suspectKey } } = this._options
    if (!answer.hasBegun) return await selector.acquireNow({ suspectKey })
    const responsive = this._listResponsive(stalled)
    return await selector.acquireNow({ suspectKey, candidates: responsive.length > 0 ? responsive : selector.listUntried() })
  }

  private async _sendTo (upstream: UpstreamEntry, stalled: SentAttempt): Promise<SentAttempt> {
    const { quarantine, send, onDidEndAttempt, retries } = this._options
    // One upstream must not run the request twice at once, and a suspect must not run at two.
    if (upstream.id === stalled.upstream.id || quarantine.isSuspect) {
      stalled.abandon()
      await onDidEndAttempt(stalled)
      return send(upstream)
    }
    const replacement = send(upstream)
    const remaining = await this._waitForFirst(stalled, replacement)
    const ended = remaining === stalled ? replacement : stalled
    await onDidEndAttempt(ended)
    if (ended === stalled) {
      this._log(stalled, 'replaced', replacement)
      return replacement
    }
    retries.releaseUnsent()
    const { outcome } = await replacement.result
    if (outcome.kind === 'notRun' && outcome.reason === 'inputMissing') this._options.inputs.release()
    this._log(stalled, outcome.kind === 'cancelled' ? 'resumed' : 'replacementEnded', replacement)
    return stalled
  }

  /** Resolves with the attempt that goes on; the other one has been ended by then. */
  private _waitForFirst (stalled: SentAttempt, replacement: SentAttempt): Promise<SentAttempt> {
    const store = new DisposableStore()
    return new Promise(resolve => {
      // Ends the other attempt at once, so that only one of the two writes to the caller.
      const cancelReplacement = () => { store.dispose(); replacement.cancel(); resolve(stalled) }
      const abandonStalled = () => { store.dispose(); stalled.abandon(); resolve(replacement) }
      store.add(stalled.onDidClaim(cancelReplacement))
      store.add(replacement.onDidClaim(abandonStalled))
      // While its connection is being opened, the replacement does not run yet and may still turn out to be unreachable.
      const checkOverlap = () => replacement.wasSent ? abandonStalled() : scheduleCheck()
      const scheduleCheck = () => { store.add(this._options.context.clock.schedule(OVERLAP_MS, checkOverlap)) }
      scheduleCheck()
      void stalled.result.then(({ outcome }) => {
        if (!store.isDisposed) (outcome.kind === 'delivered' || outcome.kind === 'cancelled' ? cancelReplacement : abandonStalled)()
      })
      void replacement.result.then(() => { if (!store.isDisposed) cancelReplacement() })
    })
  }

  private _resumeAlone (stalled: SentAttempt, result: StallResult, pauseMs = 0): SentAttempt {
    const { context: { clock }, retries, inputs } = this._options
    this._retryAt = clock.now() + pauseMs
    retries.releaseUnsent()
    // An attempt that has ended is followed by one that needs the results.
    if (result === 'resumed' && !stalled.hasEnded) inputs.release()
    this._log(stalled, result)
    return stalled
  }

  /** Logs each result once in a row, since a stalled attempt reports repeatedly. */
  private _log (stalled: SentAttempt, result: StallResult, replacement?: SentAttempt): void {
    if (result === this._lastResult) return
    this._lastResult = result
    const { context, accepted, getDecisionInputs } = this._options
    context.log.info('attempt_stalled', {
      request: accepted.request.id,
      upstream: stalled.upstream.id,
      result,
      replacement: replacement?.upstream.id ?? '',
      answer: accepted.answer.hasBegun ? 'begun' : 'none',
      silent_ms: Math.round(stalled.silentMs),
      responsive: this._listResponsive(stalled).length,
      left_ms: Math.round(getDecisionInputs().timeLeftMs)
    })
  }
}
