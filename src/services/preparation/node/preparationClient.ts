/**
 * Has jobs done by the coordinator that all nodes choose, wherever it runs. When that one is lost, the jobs go to the
 * next: any piece may be made again, so two coordinators for a while cost only work.
 */
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import type { IClock } from '../../../base/common/clock.ts'
import type { Event } from '../../../base/common/event.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import { listLastStages } from '../common/preparationJob.ts'
import type { CarriedPiece, JobRefusal, PieceResult, PreparationJob } from '../common/preparationJob.ts'
import { chooseCoordinator, listHomePlans, listPlans } from '../common/coordinatorChoice.ts'
import type { CoordinatorCandidate, PlannedUpstream } from '../common/coordinatorChoice.ts'
import type { IPreparationService, IPreparedInputs, LostPiecesListener } from '../common/preparationService.ts'
import { MAX_PREFIX_NOTES } from '../common/preparationMessage.ts'
import { PrefixBook } from '../common/prefixBook.ts'
import type { PrefixNote } from '../common/prefixBook.ts'
import type { PieceProtocol } from '../common/pieceProtocol.ts'
import type { JobEnd, JobNews } from '../common/plannedCall.ts'
import type { TargetReport } from '../common/targetPlanner.ts'
import type { CoordinatorLink, CoordinatorLinkOptions } from './coordinatorLink.ts'
import { CoordinatorLinks } from './coordinatorLinks.ts'
import type { LostCoordinator } from './coordinatorLinks.ts'
import { OpenJob } from './openJob.ts'
import type { PreparationCoordinator } from './preparationCoordinator.ts'

export interface PreparationClientOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly protocol: PieceProtocol
  readonly registry: UpstreamRegistry
  readonly coordinator: PreparationCoordinator
  /** Where the coordinator of this node is reached. */
  readonly address: string
  readonly localAddress?: string
  /** Whether the live nodes are known: before, each node would coordinate its own jobs, in the room of the others. */
  readonly hasMembers: () => boolean
  readonly onDidKnowMembers: Event<void>
  /** The coordinators of all live nodes, this one's included. */
  readonly listCoordinators: () => readonly CoordinatorCandidate[]
  /** All upstreams that make pieces. */
  readonly listPieceUpstreams: () => readonly PlannedUpstream[]
  /** How a coordinator of another node is reached; undefined when it cannot be in time. */
  readonly openLink?: (options: CoordinatorLinkOptions) => Promise<CoordinatorLink | undefined>
  /** Links that others use as well; the client has its own without them. */
  readonly links?: CoordinatorLinks
}

/** How a job is kept. */
interface JobTerms {
  /** On the process's clock, in milliseconds. */
  readonly startedAt: number
  readonly signal: AbortSignal
  readonly onDidLose: LostPiecesListener | undefined
}

/** A coordinator that could not be reached is left alone for so long. */
const AVOID_MS = 1500
const MAX_MOVES = 4

/** The owner's own doing; it tells its caller itself. */
const GIVEN_UP: JobRefusal = { reason: 'interrupted', retryAfterMs: 0 }

export class PreparationClient extends Disposable implements IPreparationService {
  private readonly _options: PreparationClientOptions
  private readonly _jobs = new Map<string, OpenJob>()
  private readonly _links: CoordinatorLinks
  private readonly _prefixes = new PrefixBook()
  private readonly _avoidUntil = new Map<string, number>()

  constructor (options: PreparationClientOptions) {
    super()
    this._options = options
    this._register(options.onDidKnowMembers(() => { for (const open of [...this._jobs.values()]) void this._submit(open) }))
    const { clock, log, localAddress, openLink } = options
    this._links = options.links ?? this._register(new CoordinatorLinks({ clock, log, localAddress, openLink }))
    this._register(this._links.onDidOpen(link => this._follow(link)))
    this._register(this._links.onDidLose(lost => this._lose(lost)))
  }

  /** The address of the coordinator that keeps a plan. */
  findCoordinator (hall: string): string {
    const now = this._options.clock.now()
    const usable = this._options.listCoordinators().filter(({ address }) => (this._avoidUntil.get(address) ?? 0) <= now)
    return chooseCoordinator(usable, hall) ?? this._options.address
  }

  /** Jobs that this node plans though another one should, which was not known when they came, go there. */
  moveJobs (): void {
    if (this._options.hasMembers()) this._options.coordinator.moveJobsOf(hall => this.findCoordinator(hall) !== this._options.address)
  }

  /** Whether another node could take over this one's plans. */
  hasOtherCoordinator (): boolean {
    return this._options.listCoordinators().some(({ address }) => address !== this._options.address)
  }

  prepare (job: PreparationJob, signal: AbortSignal, onDidLose?: LostPiecesListener): Promise<Either<JobRefusal, IPreparedInputs>> {
    return this._open(job, { startedAt: this._options.clock.now(), signal, onDidLose }, open => {
      if (this._options.hasMembers()) void this._submit(open)
    })
  }

  /** Keeps a job until it is settled or its owner gives it up. */
  private _open (job: PreparationJob, { startedAt, signal, onDidLose }: JobTerms, onDidOpen: (open: OpenJob) => void): Promise<Either<JobRefusal, IPreparedInputs>> {
    return new Promise(resolve => {
      if (signal.aborted) return resolve(Left(GIVEN_UP))
      const onAbort = () => {
        this._giveBack(open)
        resolve(Left(GIVEN_UP))
      }
      const settle = (settled: OpenJob, news: JobEnd) => {
        signal.removeEventListener('abort', onAbort)
        resolve(this._createOutcome(settled, news, signal))
      }
      const open = new OpenJob(job, { startedAt, settle, onDidLose })
      signal.addEventListener('abort', onAbort, { once: true })
      this._jobs.set(job.id, open)
      onDidOpen(open)
    })
  }

  private async _submit (open: OpenJob): Promise<void> {
    const { hall, isOffer } = open.search.choose(this._listPlans(open), open.hasResults)
    const address = this.findCoordinator(hall)
    if (address === this._options.address) {
      open.link = undefined
      this._pushPrefixes(hall)
      return this._options.coordinator.submit({ job: this._updateTimes(open), hall, isOffer, carried: this._listCarried(open) }, news => this._take(open, news))
    }
    const link = await this._links.connect(address)
    if (this._jobs.get(open.job.id) !== open) return
    if (link === undefined || link.isClosed) return this._move(open)
    open.link = link
    link.openJobs++
    if (link.mayTellPrefixes(hall)) link.send({ kind: 'prefixes', hall, notes: this._listPrefixes() })
    link.send({ kind: 'job', job: this._updateTimes(open), hall, isOffer, carried: this._listCarried(open) })
  }

  /** When this node begins to plan for a hall, it knows what its own prompts were sent to. */
  private _pushPrefixes (hall: string): void {
    if (this._options.coordinator.hasPlan(hall)) return
    this._options.coordinator.addPrefixes(hall, this._listPrefixes())
  }

  private _listPrefixes (): readonly PrefixNote[] {
    return this._prefixes.list(MAX_PREFIX_NOTES, this._options.clock.now())
  }

  private _listCarried (open: OpenJob): readonly CarriedPiece[] {
    return open.listCarried(this._options.clock.now())
  }

  /** Jobs with the same shared parts go to the same plan, which knows where these were read. */
  private _listPlans (open: OpenJob): readonly string[] {
    const { job } = open
    const upstreams = this._options.listPieceUpstreams()
    const key = job.request.shared.at(-1)?.key ?? job.id
    return job.homeHalls === undefined ? listPlans(upstreams, key) : listHomePlans(upstreams, key, job.homeHalls)
  }

  /** A plan that has no room or no upstreams, or would be late, may have a neighbour that is better off. */
  private _take (open: OpenJob, news: JobNews): void {
    if (this._jobs.get(open.job.id) !== open) return
    if (news.kind === 'made') return open.recordMade(news.pieces, this._options.clock.now())
    if (news.kind === 'lost') return open.noteLost(news, this._options.clock.now())
    if (news.kind === 'moved') return this._leave(open)
    // Whoever refuses a job gives its results back.
    open.forgetMade()
    if (news.kind === 'prepared') return this._settle(open, news)
    if (news.kind === 'declined') open.search.noteDeclined(news.endInMs)
    else if (!this._mayAskOthers(open, news.refusal)) return this._settle(open, news)
    if (open.link !== undefined) open.link.openJobs--
    void this._submit(open)
  }

  private _mayAskOthers (open: OpenJob, { reason }: JobRefusal): boolean {
    if (reason === 'tooLate') return false
    if (reason !== 'noUpstream' || open.search.asked?.isOffer !== true) return open.search.noteRefused(this._listPlans(open))
    open.search.noteDeclined(Infinity)
    return true
  }

  /** Times in a job count from when it is submitted. */
  private _updateTimes (open: OpenJob): PreparationJob {
    const elapsedMs = this._options.clock.now() - open.startedAt
    const { job } = open
    return {
      ...job,
      goalInMs: Math.max(0, job.goalInMs - elapsedMs),
      deadlineInMs: Math.max(0, job.deadlineInMs - elapsedMs),
      isSuspect: open.isSuspect || job.isSuspect === true
    }
  }

  /** The coordinator ends, and says so: the next one takes the job, and every later one. */
  private _leave (open: OpenJob): void {
    const { link } = open
    this._avoidUntil.set(link?.address ?? this._options.address, this._options.clock.now() + AVOID_MS)
    if (link !== undefined) link.openJobs--
    this._move(open)
  }

  private _move (open: OpenJob): void {
    open.moves++
    this._options.log.info('preparation_moved', { request: open.job.id, moves: open.moves })
    if (open.moves > MAX_MOVES) return this._settle(open, { kind: 'refused', jobId: open.job.id, refusal: { reason: 'interrupted', retryAfterMs: AVOID_MS } })
    void this._submit(open)
  }

  private _settle (open: OpenJob, news: JobEnd): void {
    if (this._jobs.get(open.job.id) !== open) return
    this._jobs.delete(open.job.id)
    if (open.link !== undefined) open.link.openJobs--
    open.settle(news)
  }

  private _follow (link: CoordinatorLink): void {
    link.onDidReceive(news => {
      const open = this._jobs.get(news.jobId)
      if (open?.link === link) this._take(open, news)
    })
  }

  /**
   * A coordinator is asked over a new connection before it is left alone: when connections go silent, nodes that went on
   * to the next coordinator, and found it silent too, each planned alone in the same upstreams.
   */
  private _lose ({ address, link }: LostCoordinator): void {
    const mayAskAgain = link?.wentSilent === true
    if (!mayAskAgain) this._avoidUntil.set(address, this._options.clock.now() + AVOID_MS)
    this._options.log.warn('coordinator_lost', { coordinator: address, jobs: this._jobs.size, asked_again: mayAskAgain })
    if (link !== undefined) for (const open of [...this._jobs.values()]) if (open.link === link) this._move(open)
  }

  private _createOutcome (open: OpenJob, news: JobEnd, signal: AbortSignal): Either<JobRefusal, IPreparedInputs> {
    return news.kind === 'refused' ? Left(news.refusal) : Right(this._createInputs(open, news, signal))
  }

  private _createInputs (open: OpenJob, news: JobEnd & { readonly kind: 'prepared' }, signal: AbortSignal): IPreparedInputs {
    const { results, targetId, prefixSourceId, hall } = news
    if (targetId !== '') this._prefixes.add(open.job.request.shared, targetId, this._options.clock.now())
    let isReleased = false
    let isReported = false
    return {
      handles: results.map(result => result.handle),
      bytes: sumFinalBytes(open.job),
      targetId,
      prefixSourceId,
      hall,
      get isReleased () { return isReleased },
      report: report => {
        if (isReported) return
        isReported = true
        this._report(open, report)
      },
      release: () => {
        if (isReleased) return
        isReleased = true
        this._giveBack(open, results)
      },
      prepareAgain: () => {
        if (!isReported) this._report(open, { outcome: 'unused', producedMs: 0 })
        isReported = true
        if (isReleased) return this.prepare(this._updateTimes(open), signal, open.onDidLose)
        isReleased = true
        return this._prepareAgain(open, results, signal)
      }
    }
  }

  private _prepareAgain (open: OpenJob, results: readonly PieceResult[], signal: AbortSignal): Promise<Either<JobRefusal, IPreparedInputs>> {
    const { job, link } = open
    if (signal.aborted) this._giveBack(open, results)
    if (link?.isClosed === true) {
      this._freeDirectly(results)
      return this.prepare(this._updateTimes(open), signal, open.onDidLose)
    }
    return this._open(job, { startedAt: open.startedAt, signal, onDidLose: open.onDidLose }, again => {
      again.link = link
      if (link !== undefined) {
        link.openJobs++
        link.send({ kind: 'reopen', jobId: job.id })
      } else if (!this._options.coordinator.reopen(job.id, news => this._take(again, news))) {
        this._settle(again, { kind: 'refused', jobId: job.id, refusal: { reason: 'interrupted', retryAfterMs: 0 } })
      }
    })
  }

  private _giveBack (open: OpenJob, results: readonly PieceResult[] = []): void {
    const { job, link } = open
    if (this._jobs.get(job.id) === open) {
      this._jobs.delete(job.id)
      if (link !== undefined) link.openJobs--
    }
    if (link === undefined) this._options.coordinator.release(job.id)
    else if (link.isClosed) this._freeDirectly(results)
    else link.send({ kind: 'release', jobId: job.id })
  }

  private _report ({ job, link }: OpenJob, { outcome, producedMs }: TargetReport): void {
    if (link === undefined) this._options.coordinator.report(job.id, { outcome, producedMs })
    else if (!link.isClosed) link.send({ kind: 'report', jobId: job.id, outcome, producedMs: Math.max(0, producedMs) })
  }

  /** The coordinator that counted these results is gone, so nobody else gives them back. */
  private _freeDirectly (results: readonly PieceResult[]): void {
    const byUpstream = new Map<string, string[]>()
    for (const { upstreamId, handle } of results) byUpstream.set(upstreamId, [...byUpstream.get(upstreamId) ?? [], handle])
    for (const [upstreamId, handles] of byUpstream) {
      const upstream = this._options.registry.get(upstreamId)
      if (upstream !== undefined && !this._options.registry.isEvacuated(upstream.hall)) void this._options.protocol.freeResults(upstream, handles)
    }
  }
}

function sumFinalBytes (job: PreparationJob): number {
  return listLastStages(job.stages).reduce((sum, index) => sum + (job.stages[index]?.pieceCount ?? 0) * (job.stages[index]?.resultBytes ?? 0), 0)
}
