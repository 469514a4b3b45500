/**
 * Manages the prepared inputs of one request: has them prepared, reports attempts to the planner, and releases them.
 */
import type { Either } from 'purify-ts'
import type { IDisposable } from '../../../base/common/disposable.ts'
import { hasPieces } from '../../preparation/common/preparationJob.ts'
import type { JobRefusal, PreparationJob } from '../../preparation/common/preparationJob.ts'
import type { IPreparedInputs, LostPiecesListener } from '../../preparation/common/preparationService.ts'
import type { TargetReport } from '../../preparation/common/targetPlanner.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import type { AttemptOutcome } from '../common/attemptDecision.ts'
import type { RelayContext } from './relayContext.ts'

export interface RequestInputsOptions {
  readonly context: RelayContext
  /** Each of these aborts preparation, whose results are then released. */
  readonly signals: readonly AbortSignal[]
  /** Called when an upstream is lost while it computes pieces of the request. */
  readonly onDidLosePieces: LostPiecesListener
}

/** Time to wait for the planner's choice of a target; a planner in another hall normally answers within a few milliseconds. */
const TARGET_TIMEOUT_MS = 60

export class RequestInputs {
  private readonly _options: RequestInputsOptions
  private _inputs: IPreparedInputs | undefined
  private _preparedMs = 0

  constructor (options: RequestInputsOptions) {
    this._options = options
  }

  /** Duration of the first preparation. */
  get preparedMs (): number {
    return this._preparedMs
  }

  /** Whether inputs were prepared, which an upstream might report as missing. */
  get isPrepared (): boolean {
    return this._inputs !== undefined
  }

  get handles (): readonly string[] {
    return this._inputs?.handles ?? []
  }

  /** The hall that holds most of the results; empty if there are none. */
  get hall (): string {
    return this._inputs?.hall ?? ''
  }

  /** The upstream that the planner chose for the request; undefined if it was not queried. */
  get targetId (): string | undefined {
    return this._inputs?.targetId
  }

  /** Whether the results were released, so that a further attempt needs new ones. */
  get hasReleasedResults (): boolean {
    return this._inputs?.isReleased === true && this._inputs.handles.length > 0
  }

  /** Resolves with undefined if the request can proceed. For a job without pieces a refusal by the planner is ignored. */
  async prepare (job: PreparationJob): Promise<JobRefusal | undefined> {
    const { context, signals, onDidLosePieces } = this._options
    const startedAt = context.clock.now()
    const result = await (hasPieces(job) ? context.preparation.prepare(job, AbortSignal.any([...signals]), onDidLosePieces) : this._queryTarget(job))
    this._preparedMs = context.clock.now() - startedAt
    const refusal = this._storeResult(result)
    return hasPieces(job) ? refusal : undefined
  }

  /** Computes the results again; resolves with undefined if the request can proceed. */
  async prepareAgain (): Promise<JobRefusal | undefined> {
    return this._inputs === undefined ? undefined : this._storeResult(await this._inputs.prepareAgain())
  }

  /** Returns the address to copy the prefix from. The copy is only valid for the upstream that was planned with it. */
  findPrefixSource (upstream: UpstreamEntry): string | undefined {
    const inputs = this._inputs
    if (inputs === undefined || inputs.targetId !== upstream.id || inputs.prefixSourceId === '') return undefined
    return this._options.context.registry.get(inputs.prefixSourceId)?.address
  }

  /** Schedules the release of the results for when the upstream should have fetched them. */
  scheduleRelease (): IDisposable | undefined {
    const inputs = this._inputs
    const { clock, releaseDelay } = this._options.context
    return inputs === undefined ? undefined : clock.schedule(releaseDelay.computeDelayMs(inputs.bytes), () => inputs.release())
  }

  /** Adjusts the release delay by whether the upstream still found the results. */
  recordOutcome (outcome: AttemptOutcome): void {
    const { releaseDelay } = this._options.context
    if (this._inputs === undefined) return
    if (outcome.kind === 'notRun' && outcome.reason === 'inputMissing') releaseDelay.recordMissing()
    else if (outcome.kind === 'delivered') releaseDelay.recordSuccess()
  }

  /** Reports the state of the request to the planner, if the upstream is the one that it chose. */
  report (upstream: UpstreamEntry, report: TargetReport): void {
    if (this._inputs?.targetId === upstream.id) this._inputs.report(report)
  }

  release (): void {
    this._inputs?.release()
  }

  /** Called when the request has completed: releases the results, and reports the target as unused if nothing was reported. */
  end (): void {
    this._inputs?.release()
    this._inputs?.report({ outcome: 'unused', producedMs: 0 })
  }

  /** Queries the planner for a target, with a short timeout, since the request can run at any upstream. */
  private async _queryTarget (job: PreparationJob): Promise<Either<JobRefusal, IPreparedInputs>> {
    const { context, signals } = this._options
    const abortController = new AbortController()
    const timer = context.clock.schedule(TARGET_TIMEOUT_MS, () => abortController.abort())
    try {
      return await context.preparation.prepare(job, AbortSignal.any([abortController.signal, ...signals]))
    } finally {
      timer.dispose()
    }
  }

  private _storeResult (result: Either<JobRefusal, IPreparedInputs>): JobRefusal | undefined {
    return result.caseOf<JobRefusal | undefined>({
      Left: refusal => refusal,
      Right: inputs => { this._inputs = inputs; return undefined }
    })
  }
}
