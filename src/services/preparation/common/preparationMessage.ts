/**
 * Messages between the owners of jobs and their coordinator, and their validation on receipt.
 */
import { Schema } from 'effect'
import { createMessageValidator, listKinds } from '../../rpc/common/messageValidator.ts'

const Count = Schema.Number.pipe(Schema.int(), Schema.nonNegative())
const NonNegative = Schema.Number.pipe(Schema.nonNegative())
/** Longer than any head of a caller's request, of which ids and keys are parts. */
const MAX_TEXT_LENGTH = 64 * 1024
const Id = Schema.String.pipe(Schema.minLength(1), Schema.maxLength(MAX_TEXT_LENGTH))

/** Longest list of shared prefixes of a job. */
export const MAX_PREFIX_PARTS = 64
/** Maximum number of upstreams that a job may exclude as targets of its request. */
export const MAX_EXCLUDED_TARGETS = 200
/** Maximum number of prefix cache entries in one message. */
export const MAX_PREFIX_ENTRIES = 400
/** Maximum number of reservations in one message. */
export const MAX_RESERVATION_ENTRIES = 200

const StageSchema = Schema.Struct({
  role: Id,
  after: Schema.Array(Count),
  /** The coordinator refuses a job with more pieces than it may keep. */
  pieceCount: Count,
  resultBytes: NonNegative
})

const SharedPrefixesSchema = Schema.Array(Schema.Struct({ key: Schema.String.pipe(Schema.maxLength(MAX_TEXT_LENGTH)), tokens: Count })).pipe(Schema.maxItems(MAX_PREFIX_PARTS))

const JobSchema = Schema.Struct({
  id: Id,
  key: Schema.String.pipe(Schema.maxLength(MAX_TEXT_LENGTH)),
  stages: Schema.Array(StageSchema),
  request: Schema.Struct({ role: Id, shared: SharedPrefixesSchema, inputTokens: Count }),
  rank: Count,
  goalInMs: NonNegative,
  deadlineInMs: NonNegative,
  /** Earlier versions send neither this nor the next field. */
  returnKey: Schema.optional(Schema.String.pipe(Schema.maxLength(256))),
  returnWithinMs: Schema.optional(NonNegative),
  isSuspect: Schema.optional(Schema.Boolean),
  homeHalls: Schema.optional(Schema.Array(Schema.String.pipe(Schema.maxLength(256)))),
  excludedTargets: Schema.optional(Schema.Array(Id).pipe(Schema.maxItems(MAX_EXCLUDED_TARGETS)))
})

const ResultSchema = Schema.Struct({ handle: Id, upstreamId: Id })

const ComputedPieceSchema = Schema.Struct({ stage: Count, index: Count, result: ResultSchema })

const CarriedPieceSchema = Schema.Struct({ ...ComputedPieceSchema.fields, ageMs: NonNegative })

const ReservationEntrySchema = Schema.Struct({
  key: Schema.String.pipe(Schema.maxLength(256)),
  returnInMs: NonNegative,
  pieces: Schema.Array(Schema.Struct({ role: Id, count: Count }))
})

export const PreparationMessageSchema = Schema.Union(
  /** First message on a link: the process that the sender regards as the coordinator. Earlier versions do not send it. */
  Schema.Struct({ kind: Schema.Literal('hello'), incarnation: Count }),
  /** The process that the sender of `hello` meant has ended; this one, which started later, processes none of its messages. */
  Schema.Struct({ kind: Schema.Literal('restarted'), incarnation: Count }),
  /** An owner submits a job. */
  Schema.Struct({
    kind: Schema.Literal('job'),
    job: JobSchema,
    /** The hall whose upstreams run the job; empty for all halls. */
    hall: Schema.String.pipe(Schema.maxLength(256)),
    /** The coordinator may decline the job if it would miss its goal. */
    isOffer: Schema.optionalWith(Schema.Boolean, { default: () => false }),
    /** Results that were computed under an earlier coordinator. */
    carried: Schema.Array(CarriedPieceSchema)
  }),
  /** An owner no longer needs the results. */
  Schema.Struct({ kind: Schema.Literal('release'), jobId: Id }),
  /** Outcome of the request at the target that the coordinator chose: its first event arrived, or it failed. */
  Schema.Struct({ kind: Schema.Literal('report'), jobId: Id, outcome: Schema.Literal('produced', 'failed', 'unused'), producedMs: NonNegative }),
  /** Results were missing when the owner used them. */
  Schema.Struct({ kind: Schema.Literal('reopen'), jobId: Id }),
  /** Results that are stored at upstreams, so that another coordinator can continue if this one is lost. */
  Schema.Struct({ kind: Schema.Literal('made'), jobId: Id, pieces: Schema.Array(ComputedPieceSchema) }),
  /** An upstream may have crashed during a call with pieces of the job. */
  Schema.Struct({ kind: Schema.Literal('lost'), jobId: Id, upstreamId: Id, sentBeforeMs: NonNegative }),
  /** The coordinator declines an offered job, since it would miss its goal. */
  Schema.Struct({ kind: Schema.Literal('declined'), jobId: Id, endInMs: NonNegative }),
  /** The coordinator is draining and leaves the job, with its results, to the next one. */
  Schema.Struct({ kind: Schema.Literal('moved'), jobId: Id }),
  /** All results are computed. */
  Schema.Struct({
    kind: Schema.Literal('prepared'),
    jobId: Id,
    results: Schema.Array(ResultSchema),
    /** The upstream that should run the request; empty if there is none. */
    targetId: Schema.String,
    /** The upstream that the target should fetch the cached prefix from; empty if there is none. */
    prefixSourceId: Schema.String,
    hall: Schema.String,
    times: Schema.Struct({ queuedMs: NonNegative, madeMs: NonNegative, betweenMs: NonNegative })
  }),
  /** The coordinator refuses the job. */
  Schema.Struct({
    kind: Schema.Literal('refused'),
    jobId: Id,
    refusal: Schema.Struct({ reason: Schema.Literal('overloaded', 'tooLate', 'noUpstream', 'interrupted'), retryAfterMs: NonNegative, isReserved: Schema.optional(Schema.Boolean) })
  }),
  /** Prefixes that the owner's requests left in upstream caches, for a coordinator that may be new. */
  Schema.Struct({
    kind: Schema.Literal('prefixes'),
    hall: Schema.String.pipe(Schema.maxLength(256)),
    notes: Schema.Array(Schema.Struct({ shared: SharedPrefixesSchema, targetId: Id, ageMs: NonNegative })).pipe(Schema.maxItems(MAX_PREFIX_ENTRIES))
  }),
  /** Reservations that the sender's callers were given by an earlier coordinator of the hall. */
  Schema.Struct({
    kind: Schema.Literal('reservations'),
    hall: Schema.String.pipe(Schema.maxLength(256)),
    entries: Schema.Array(ReservationEntrySchema).pipe(Schema.maxItems(MAX_RESERVATION_ENTRIES))
  }),
  /** The plan of another hall has reserved capacity for a caller of the sender. Earlier versions neither send nor know it. */
  Schema.Struct({
    kind: Schema.Literal('returnNotice'),
    hall: Schema.String.pipe(Schema.maxLength(256)),
    key: Schema.String.pipe(Schema.maxLength(256)),
    returnInMs: NonNegative
  }),
  /** Asks the coordinator of a hall for permission to send one request to a rate limited upstream of that hall. */
  Schema.Struct({
    kind: Schema.Literal('quotaWanted'),
    id: Count,
    upstreamId: Id,
    /** The upstream's limit as the sender knows it; earlier versions do not send it. */
    limit: Schema.optional(Schema.Struct({ perS: NonNegative, burst: NonNegative }))
  }),
  /** Whether the request may be sent; if not, the delay before the next query. */
  Schema.Struct({ kind: Schema.Literal('quotaAnswered'), id: Count, isGranted: Schema.Boolean, retryInMs: NonNegative }),
  /** Probes the other side of the link. */
  Schema.Struct({ kind: Schema.Literal('ping') }),
  Schema.Struct({ kind: Schema.Literal('pong') })
)

export type PreparationMessage = typeof PreparationMessageSchema.Type

export const checkPreparationMessage = createMessageValidator(PreparationMessageSchema, listKinds(PreparationMessageSchema.members))

/** Returns the id of the job that an invalid message submits, so that its owner can be answered. */
export function readSubmittedJobId (frame: unknown): string | undefined {
  const { kind, job } = (frame ?? {}) as { readonly kind?: unknown, readonly job?: { readonly id?: unknown } | null }
  return kind === 'job' && typeof job?.id === 'string' && job.id !== '' ? job.id : undefined
}
