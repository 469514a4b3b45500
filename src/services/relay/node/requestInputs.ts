/**
 * What a request needs before an upstream can run it: has it made, tells the plan how it fared, and gives it back.
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
  /** Each ends preparation, whose results are then given back. */
  readonly signals: readonly AbortSignal[]
  /** An upstream was lost while it made pieces for the request. */
  readonly onDidLose: LostPiecesListener
}

/** A planner in another hall answers within a few milliseconds. */
const MAX_TARGET_WAIT_MS = 60

export class RequestInputs {
  private readonly _options: RequestInputsOptions
  private _inputs: IPreparedInputs | undefined
  private _preparedMs = 0

  constructor (options: RequestInputsOptions) {
    this._options = options
  }

  /** How long preparation took. */
  get preparedMs (): number {
    return this._preparedMs
  }

  /** Whether there is anything that an upstream could miss. */
  get isPrepared (): boolean {
    return this._inputs !== undefined
  }

  get handles (): readonly string[] {
    return this._inputs?.handles ?? []
  }

  /** The hall that most of the results are in; empty when there are none. */
  get hall (): string {
    return this._inputs?.hall ?? ''
  }

  /** The upstream that should take the request; undefined when none was asked for. */
  get targetId (): string | undefined {
    return this._inputs?.targetId
  }

  /** The results were given back, so a further attempt needs new ones. */
  get isUsedUp (): boolean {
    return this._inputs?.isReleased === true && this._inputs.handles.length > 0
  }

  /** Undefined when the request can go on. */
  async prepare (job: PreparationJob): Promise<JobRefusal | undefined> {
    const { context, signals, onDidLose } = this._options
    const startedAt = context.clock.now()
    const result = await (hasPieces(job) ? context.preparation.prepare(job, AbortSignal.any([...signals]), onDidLose) : this._askTarget(job))
    this._preparedMs = context.clock.now() - startedAt
    const refusal = this._take(result)
    return hasPieces(job) ? refusal : undefined
  }

  /** Makes the results anew; undefined when the request can go on. */
  async prepareAgain (): Promise<JobRefusal | undefined> {
    return this._inputs === undefined ? undefined : this._take(await this._inputs.prepareAgain())
  }

  /** The copy was planned for the upstream that was chosen together with it. */
  findPrefixSource (upstream: UpstreamEntry): string | undefined {
    const inputs = this._inputs
    if (inputs === undefined || inputs.targetId !== upstream.id || inputs.prefixSourceId === '') return undefined
    return this._options.context.registry.get(inputs.prefixSourceId)?.address
  }

  /** Gives the results back once the upstream must have fetched them. */
  scheduleRelease (): IDisposable | undefined {
    const inputs = this._inputs
    const { clock, releaseDelay } = this._options.context
    return inputs === undefined ? undefined : clock.schedule(releaseDelay.compute(inputs.bytes), () => inputs.release())
  }

  /** Takes in whether an upstream that was sent the request had what it needs. */
  noteOutcome (outcome: AttemptOutcome): void {
    const { releaseDelay } = this._options.context
    if (this._inputs === undefined) return
    if (outcome.kind === 'notRun' && outcome.reason === 'inputMissing') releaseDelay.noteMissing()
    else if (outcome.kind === 'delivered') releaseDelay.noteTaken()
  }

  /** Tells the plan how the request fares at the upstream, if that was the plan's choice. */
  report (upstream: UpstreamEntry, report: TargetReport): void {
    if (this._inputs?.targetId === upstream.id) this._inputs.report(report)
  }

  release (): void {
    this._inputs?.release()
  }

  /** The request is over. */
  end (): void {
    this._inputs?.release()
    this._inputs?.report({ outcome: 'unused', producedMs: 0 })
  }

  /** The request can run anywhere, so it does not wait for a planner that is lost. */
  private async _askTarget (job: PreparationJob): Promise<Either<JobRefusal, IPreparedInputs>> {
    const { context, signals } = this._options
    const asking = new AbortController()
    const timer = context.clock.schedule(MAX_TARGET_WAIT_MS, () => asking.abort())
    try {
      return await context.preparation.prepare(job, AbortSignal.any([asking.signal, ...signals]))
    } finally {
      timer.dispose()
    }
  }

  private _take (result: Either<JobRefusal, IPreparedInputs>): JobRefusal | undefined {
    return result.caseOf<JobRefusal | undefined>({
      Left: refusal => refusal,
      Right: inputs => { this._inputs = inputs; return undefined }
    })
  }
}
