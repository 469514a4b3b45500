/**
 * Submits jobs to the coordinator that all nodes choose, on whichever node it runs. When that coordinator is lost, the
 * jobs move to the next one. Any piece may be computed again, so two coordinators at a time cost only extra work.
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
import { chooseCoordinator, listHomePlans, listPlans, rankCoordinators } from '../common/coordinatorChoice.ts'
import type { CoordinatorCandidate, PlannedUpstream } from '../common/coordinatorChoice.ts'
import type { IPreparationService, IPreparedInputs, LostPiecesListener } from '../common/preparationService.ts'
import { MAX_PREFIX_ENTRIES } from '../common/preparationMessage.ts'
import { PrefixIndex } from '../common/prefixIndex.ts'
import type { PrefixEntry } from '../common/prefixIndex.ts'
import type { PieceProtocol } from '../common/pieceProtocol.ts'
import { computeRemainingReturnMs } from '../common/returnWindow.ts'
import { COORDINATOR_BACKOFF_MS, UnreachableCoordinators } from '../common/unreachableCoordinators.ts'
import type { JobEnd, JobUpdate } from '../common/plannedCall.ts'
import type { TargetReport } from '../common/targetPlanner.ts'
import type { CoordinatorLink, CoordinatorLinkOptions } from './coordinatorLink.ts'
import { CoordinatorLinks } from './coordinatorLinks.ts'
import type { LostCoordinator } from './coordinatorLinks.ts'
import { OwnedJob } from './ownedJob.ts'
import type { PreparationCoordinator } from './preparationCoordinator.ts'
import { ReservationTransfer } from './reservationTransfer.ts'

export interface PreparationClientOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly protocol: PieceProtocol
  readonly registry: UpstreamRegistry
  readonly coordinator: PreparationCoordinator
  /** The address of this node's own coordinator. */
  readonly address: string
  readonly localAddress?: string
  /**
   * Whether the live nodes are known. Until then jobs wait: otherwise each node would coordinate its own jobs and fill
   * result capacity that the plans of other nodes count as free.
   */
  readonly isMembershipKnown: () => boolean
  readonly onDidReceiveMembers: Event<void>
  /** The coordinators of all live nodes, including this one. */
  readonly listCoordinators: () => readonly CoordinatorCandidate[]
  /** All upstreams that compute pieces. */
  readonly listPieceUpstreams: () => readonly PlannedUpstream[]
  /** Whether each hall gets a share of the jobs that corresponds to its capacity, instead of equal shares. */
  readonly weighsPlans?: boolean
  /** Opens a link to a coordinator; resolves with undefined if it cannot be reached in time. */
  readonly openLink?: (options: CoordinatorLinkOptions) => Promise<CoordinatorLink | undefined>
  /** Links that are shared with other services; without them the client opens its own. */
  readonly links?: CoordinatorLinks
}

interface JobContext {
  /** On the process's clock, in milliseconds. */
  readonly startedAt: number
  readonly signal: AbortSignal
  readonly onDidLose: LostPiecesListener | undefined
}

/** How often a job moves from one live coordinator to another. A dial without an answer is no move: the job has not been anywhere. */
const MAX_MOVES = 4
/** Once a coordinator does not answer, this many of the next ones are dialled at the same time, since hosts are often lost together. */
const CONCURRENT_DIALS = 8

/** The result after an abort by the owner, which answers its caller itself. */
const ABORTED: JobRefusal = { reason: 'interrupted', retryAfterMs: 0 }

export class PreparationClient extends Disposable implements IPreparationService {
  private readonly _options: PreparationClientOptions
  private readonly _jobs = new Map<string, OwnedJob>()
  private readonly _links: CoordinatorLinks
  private readonly _prefixes = new PrefixIndex()
  private readonly _unreachable = new UnreachableCoordinators()
  private readonly _reservations: ReservationTransfer

  constructor (options: PreparationClientOptions) {
    super()
    this._options = options
    this._register(options.onDidReceiveMembers(() => { for (const ownedJob of [...this._jobs.values()]) void this._submit(ownedJob) }))
    const { clock, log, localAddress, openLink } = options
    this._links = options.links ?? this._register(new CoordinatorLinks({ clock, log, localAddress, openLink, findIncarnation: address => this._findIncarnation(address) }))
    this._reservations = new ReservationTransfer({ ...options, links: this._links, findCoordinator: hall => this.findCoordinator(hall), listPlans: ownedJob => this._listJobPlans(ownedJob), onWillAdopt: hall => this._addOwnPrefixes(hall) })
    this._register(this._links.onDidOpen(link => this._subscribe(link)))
    this._register(this._links.onDidLose(lost => this._handleLostCoordinator(lost)))
  }

  /** Returns the address of the coordinator that is responsible for the plan of a hall. */
  findCoordinator (hall: string): string {
    return chooseCoordinator(this._listReachable(hall), hall) ?? this._options.address
  }

  private _listReachable (hall: string): readonly CoordinatorCandidate[] {
    const now = this._options.clock.now()
    return this._options.listCoordinators().filter(candidate => !this._unreachable.has(candidate, hall, now))
  }

  private _findIncarnation (address: string): number | undefined {
    return this._options.listCoordinators().find(candidate => candidate.address === address)?.incarnation
  }

  /**
   * Called when members have changed: moves jobs that this node plans although another node, which was unknown when they
   * arrived, is responsible, and passes on the reservations of plans that have moved.
   */
  moveMisplacedJobs (): void {
    if (!this._options.isMembershipKnown()) return
    this._options.coordinator.movePlans(hall => this.findCoordinator(hall) !== this._options.address)
    this._reservations.sendAll()
  }

  /** Whether another node could take over the plans of this node. */
  hasOtherCoordinator (): boolean {
    return this._options.listCoordinators().some(({ address }) => address !== this._options.address)
  }

  prepare (job: PreparationJob, signal: AbortSignal, onDidLose?: LostPiecesListener): Promise<Either<JobRefusal, IPreparedInputs>> {
    return this._track(job, { startedAt: this._options.clock.now(), signal, onDidLose }, ownedJob => {
      if (this._options.isMembershipKnown()) void this._submit(ownedJob)
    })
  }

  /** Tracks a job until it ends or its owner aborts it. */
  private _track (job: PreparationJob, { startedAt, signal, onDidLose }: JobContext, onDidTrack: (ownedJob: OwnedJob) => void): Promise<Either<JobRefusal, IPreparedInputs>> {
    return new Promise(resolve => {
      if (signal.aborted) return resolve(Left(ABORTED))
      const onAbort = () => {
        this._releaseJob(ownedJob)
        resolve(Left(ABORTED))
      }
      const complete = (completed: OwnedJob, update: JobEnd) => {
        signal.removeEventListener('abort', onAbort)
        resolve(this._createOutcome(completed, update, signal))
      }
      const ownedJob = new OwnedJob(job, { startedAt, complete, onDidLose })
      signal.addEventListener('abort', onAbort, { once: true })
      this._jobs.set(job.id, ownedJob)
      onDidTrack(ownedJob)
    })
  }

  private async _submit (ownedJob: OwnedJob): Promise<void> {
    const { hall, isOffer } = ownedJob.search.choose(this._listJobPlans(ownedJob), ownedJob.hasResults)
    const address = this.findCoordinator(hall)
    if (address === this._options.address) {
      ownedJob.link = undefined
      this._reservations.send(hall, undefined)
      this._addOwnPrefixes(hall)
      return this._options.coordinator.submit({ job: this._createSubmission(ownedJob), hall, isOffer, carried: this._listCarriedPieces(ownedJob) }, update => this._handleUpdate(ownedJob, update))
    }
    const link = await this._links.connect(address)
    if (this._jobs.get(ownedJob.job.id) !== ownedJob) return
    if (link === undefined || link.isClosed) {
      this._dialNextCoordinators(hall)
      return this._submit(ownedJob)
    }
    ownedJob.link = link
    link.openJobCount++
    this._reservations.send(hall, link)
    if (link.markPrefixesSent(hall)) link.send({ kind: 'prefixes', hall, notes: this._listPrefixes() })
    link.send({ kind: 'job', job: this._createSubmission(ownedJob), hall, isOffer, carried: this._listCarriedPieces(ownedJob) })
  }

  /**
   * Dials the next coordinators before they are needed. Jobs still take the first in rank that answers, so that all nodes
   * choose the same one.
   */
  private _dialNextCoordinators (hall: string): void {
    const ranked = rankCoordinators(this._listReachable(hall), hall).slice(0, CONCURRENT_DIALS)
    const ownIndex = ranked.indexOf(this._options.address)
    for (const address of ownIndex < 0 ? ranked : ranked.slice(0, ownIndex)) void this._links.connect(address)
  }

  /** A plan that this node is about to start gets the records of where this node's own prompts were processed. */
  private _addOwnPrefixes (hall: string): void {
    if (this._options.coordinator.hasPlan(hall)) return
    this._options.coordinator.addPrefixes(hall, this._listPrefixes())
  }

  private _listPrefixes (): readonly PrefixEntry[] {
    return this._prefixes.list(MAX_PREFIX_ENTRIES, this._options.clock.now())
  }

  private _listCarriedPieces (ownedJob: OwnedJob): readonly CarriedPiece[] {
    return ownedJob.listCarriedPieces(this._options.clock.now())
  }

  /**
   * Jobs with the same shared prefix go to the same plan, which tracks the upstreams that have processed it. The id of a job
   * differs between the tries of a caller, which returns to the plan that has its reservation.
   */
  private _listJobPlans (ownedJob: OwnedJob): readonly string[] {
    const { job } = ownedJob
    const upstreams = this._options.listPieceUpstreams()
    const key = job.request.shared.at(-1)?.key ?? job.returnKey ?? job.id
    // Stages without pieces count too: requests of one route share prompts, and must prefer the same plan.
    const roles = this._options.weighsPlans === true ? job.stages.map(({ role }) => role) : []
    return job.homeHalls === undefined ? listPlans(upstreams, key, roles) : listHomePlans(upstreams, key, job.homeHalls, roles)
  }

  /** If a plan lacks capacity or upstreams, or would finish late, the job is submitted to another plan. */
  private _handleUpdate (ownedJob: OwnedJob, update: JobUpdate): void {
    if (this._jobs.get(ownedJob.job.id) !== ownedJob) return
    if (update.kind === 'made') return ownedJob.recordResults(update.pieces, this._options.clock.now())
    if (update.kind === 'lost') return ownedJob.recordLostCall(update, this._options.clock.now())
    if (update.kind === 'moved') return this._handleMoved(ownedJob)
    // A coordinator that refuses a job frees its results.
    ownedJob.forgetResults()
    if (update.kind === 'prepared') return this._complete(ownedJob, update)
    if (update.kind === 'declined') ownedJob.search.recordDecline(update.endInMs)
    else if (!this._recordRefusal(ownedJob, update.refusal)) return this._complete(ownedJob, update)
    if (ownedJob.link !== undefined) ownedJob.link.openJobCount--
    void this._submit(ownedJob)
  }

  /** Returns whether the job may be submitted to another plan. */
  private _recordRefusal (ownedJob: OwnedJob, { reason, isReserved }: JobRefusal): boolean {
    // Another plan would not have the reservation, and the caller returns in time.
    if (reason === 'tooLate' || isReserved === true) return false
    if (reason !== 'noUpstream' || ownedJob.search.currentChoice?.isOffer !== true) return ownedJob.search.recordRefusal(this._listJobPlans(ownedJob))
    ownedJob.search.recordDecline(Infinity)
    return true
  }

  /** Returns the job with its remaining times: a coordinator counts them from the submission. */
  private _createSubmission (ownedJob: OwnedJob): PreparationJob {
    const elapsedMs = this._options.clock.now() - ownedJob.startedAt
    const { job } = ownedJob
    return {
      ...job,
      goalInMs: Math.max(0, job.goalInMs - elapsedMs),
      deadlineInMs: Math.max(0, job.deadlineInMs - elapsedMs),
      ...job.returnWithinMs === undefined ? {} : { returnWithinMs: computeRemainingReturnMs(job.returnWithinMs, elapsedMs) },
      isSuspect: ownedJob.isSuspect || job.isSuspect === true
    }
  }

  /**
   * The coordinator leaves the hall's plan to another one, so this job and all later ones of the hall go there. This node's own
   * coordinator does so because this node already chooses another one.
   */
  private _handleMoved (ownedJob: OwnedJob): void {
    const { link, search } = ownedJob
    this._reservations.recordMoved(search.currentChoice?.hall ?? '', link)
    if (link !== undefined) {
      this._unreachable.recordMoved(link.address, link.incarnation ?? Infinity, search.currentChoice?.hall ?? '', this._options.clock.now())
      link.openJobCount--
    }
    this._moveJob(ownedJob)
  }

  private _moveJob (ownedJob: OwnedJob): void {
    ownedJob.moveCount++
    this._options.log.info('preparation_moved', { request: ownedJob.job.id, moves: ownedJob.moveCount })
    if (ownedJob.moveCount > MAX_MOVES) return this._complete(ownedJob, { kind: 'refused', jobId: ownedJob.job.id, refusal: { reason: 'interrupted', retryAfterMs: COORDINATOR_BACKOFF_MS } })
    void this._submit(ownedJob)
  }

  private _complete (ownedJob: OwnedJob, update: JobEnd): void {
    if (this._jobs.get(ownedJob.job.id) !== ownedJob) return
    this._jobs.delete(ownedJob.job.id)
    if (ownedJob.link !== undefined) ownedJob.link.openJobCount--
    this._reservations.recordEnd(ownedJob, update)
    ownedJob.complete(update)
  }

  private _subscribe (link: CoordinatorLink): void {
    link.onDidReceiveUpdate(update => {
      const ownedJob = this._jobs.get(update.jobId)
      if (ownedJob?.link === link) this._handleUpdate(ownedJob, update)
    })
    this._reservations.sendAll()
  }

  /**
   * Retries a coordinator over a new connection before backing off from it if only its link stalled. When many links
   * stalled at once, nodes that moved to the next coordinator found its link stalled as well, until each node planned
   * alone for the same upstreams.
   */
  private _handleLostCoordinator ({ address, incarnation, link }: LostCoordinator): void {
    const hasRestarted = link?.hasRestarted === true
    const canRetry = link?.hasStalled === true
    if (!canRetry) this._unreachable.recordUnreachable(address, incarnation ?? Infinity, this._options.clock.now())
    this._options.log.warn('coordinator_lost', { coordinator: address, incarnation: incarnation ?? 'any', jobs: this._jobs.size, asked_again: canRetry })
    if (link === undefined) return
    for (const ownedJob of [...this._jobs.values()]) {
      if (ownedJob.link !== link) continue
      if (hasRestarted) void this._submit(ownedJob)
      else this._moveJob(ownedJob)
    }
    this._reservations.sendAll()
  }

  private _createOutcome (ownedJob: OwnedJob, update: JobEnd, signal: AbortSignal): Either<JobRefusal, IPreparedInputs> {
    return update.kind === 'refused' ? Left(update.refusal) : Right(this._createInputs(ownedJob, update, signal))
  }

  private _createInputs (ownedJob: OwnedJob, update: JobEnd & { readonly kind: 'prepared' }, signal: AbortSignal): IPreparedInputs {
    const { results, targetId, prefixSourceId, hall } = update
    if (targetId !== '') this._prefixes.add(ownedJob.job.request.shared, targetId, this._options.clock.now())
    let isReleased = false
    let isReported = false
    return {
      handles: results.map(result => result.handle),
      bytes: sumResultBytes(ownedJob.job),
      targetId,
      prefixSourceId,
      hall,
      get isReleased () { return isReleased },
      report: report => {
        if (isReported) return
        isReported = true
        this._report(ownedJob, report)
      },
      release: () => {
        if (isReleased) return
        isReleased = true
        this._releaseJob(ownedJob, results)
      },
      prepareAgain: () => {
        if (!isReported) this._report(ownedJob, { outcome: 'unused', producedMs: 0 })
        isReported = true
        if (isReleased) return this.prepare(this._createSubmission(ownedJob), signal, ownedJob.onDidLose)
        isReleased = true
        return this._prepareAgain(ownedJob, results, signal)
      }
    }
  }

  private _prepareAgain (ownedJob: OwnedJob, results: readonly PieceResult[], signal: AbortSignal): Promise<Either<JobRefusal, IPreparedInputs>> {
    const { job, link } = ownedJob
    if (signal.aborted) this._releaseJob(ownedJob, results)
    if (link?.isClosed === true) {
      this._freeOrphanedResults(results)
      return this.prepare(this._createSubmission(ownedJob), signal, ownedJob.onDidLose)
    }
    return this._track(job, { startedAt: ownedJob.startedAt, signal, onDidLose: ownedJob.onDidLose }, reopened => {
      reopened.link = link
      if (link !== undefined) {
        link.openJobCount++
        link.send({ kind: 'reopen', jobId: job.id })
      } else if (!this._options.coordinator.reopen(job.id, update => this._handleUpdate(reopened, update))) {
        this._complete(reopened, { kind: 'refused', jobId: job.id, refusal: { reason: 'interrupted', retryAfterMs: 0 } })
      }
    })
  }

  private _releaseJob (ownedJob: OwnedJob, results: readonly PieceResult[] = []): void {
    const { job, link } = ownedJob
    if (this._jobs.get(job.id) === ownedJob) {
      this._jobs.delete(job.id)
      if (link !== undefined) link.openJobCount--
    }
    if (link === undefined) this._options.coordinator.release(job.id)
    else if (link.isClosed) this._freeOrphanedResults(results)
    else link.send({ kind: 'release', jobId: job.id })
  }

  private _report ({ job, link }: OwnedJob, { outcome, producedMs }: TargetReport): void {
    if (link === undefined) this._options.coordinator.report(job.id, { outcome, producedMs })
    else if (!link.isClosed) link.send({ kind: 'report', jobId: job.id, outcome, producedMs: Math.max(0, producedMs) })
  }

  /** The coordinator that tracked these results is unreachable, so their owner frees them itself. */
  private _freeOrphanedResults (results: readonly PieceResult[]): void {
    const byUpstream = new Map<string, string[]>()
    for (const { upstreamId, handle } of results) byUpstream.set(upstreamId, [...byUpstream.get(upstreamId) ?? [], handle])
    for (const [upstreamId, handles] of byUpstream) {
      const upstream = this._options.registry.get(upstreamId)
      if (upstream !== undefined && !this._options.registry.isEvacuated(upstream.hall)) void this._options.protocol.freeResults(upstream, handles)
    }
  }
}

function sumResultBytes (job: PreparationJob): number {
  return listLastStages(job.stages).reduce((sum, index) => sum + (job.stages[index]?.pieceCount ?? 0) * (job.stages[index]?.resultBytes ?? 0), 0)
}
