/**
 * The messages between the owners of jobs and their coordinator, and the check that each gets on arrival.
 */
import { Schema } from 'effect'
import { createMessageCheck, listKinds } from '../../rpc/common/messageCheck.ts'

const Count = Schema.Number.pipe(Schema.int(), Schema.nonNegative())
const Span = Schema.Number.pipe(Schema.nonNegative())
const Id = Schema.String.pipe(Schema.minLength(1), Schema.maxLength(512))

const MAX_STAGES = 64
const MAX_PIECES = 10_000
const MAX_PREFIX_PARTS = 64
/** The most upstreams that a job names as closed to its request. */
export const MAX_EXCLUDED_TARGETS = 200
/** The most notes on prefixes that one message holds. */
export const MAX_PREFIX_NOTES = 400

const StageSchema = Schema.Struct({
  role: Id,
  after: Schema.Array(Count).pipe(Schema.maxItems(MAX_STAGES)),
  pieceCount: Count.pipe(Schema.lessThanOrEqualTo(MAX_PIECES)),
  resultBytes: Span
})

const SharedSchema = Schema.Array(Schema.Struct({ key: Schema.String.pipe(Schema.maxLength(4096)), tokens: Count })).pipe(Schema.maxItems(MAX_PREFIX_PARTS))

const JobSchema = Schema.Struct({
  id: Id,
  key: Schema.String.pipe(Schema.maxLength(4096)),
  stages: Schema.Array(StageSchema).pipe(Schema.maxItems(MAX_STAGES)),
  request: Schema.Struct({ role: Id, shared: SharedSchema, inputTokens: Count }),
  rank: Count,
  goalInMs: Span,
  deadlineInMs: Span,
  isSuspect: Schema.optional(Schema.Boolean),
  homeHalls: Schema.optional(Schema.Array(Schema.String.pipe(Schema.maxLength(256)))),
  excludedTargets: Schema.optional(Schema.Array(Id).pipe(Schema.maxItems(MAX_EXCLUDED_TARGETS)))
})

const ResultSchema = Schema.Struct({ handle: Id, upstreamId: Id })

const MadePieceSchema = Schema.Struct({ stage: Count, index: Count, result: ResultSchema })

const CarriedPieceSchema = Schema.Struct({ ...MadePieceSchema.fields, ageMs: Span })

const PreparationMessageSchema = Schema.Union(
  /** An owner wants a job done. */
  Schema.Struct({
    kind: Schema.Literal('job'),
    job: JobSchema,
    /** The hall whose upstreams do it; empty for all. */
    hall: Schema.String.pipe(Schema.maxLength(256)),
    /** What would be late may be declined. */
    isOffer: Schema.optionalWith(Schema.Boolean, { default: () => false }),
    /** What an earlier coordinator made. */
    carried: Schema.Array(CarriedPieceSchema).pipe(Schema.maxItems(MAX_PIECES))
  }),
  /** An owner needs the results no more. */
  Schema.Struct({ kind: Schema.Literal('release'), jobId: Id }),
  /** The request has shown its first event, or failed, at the upstream that the coordinator chose. */
  Schema.Struct({ kind: Schema.Literal('report'), jobId: Id, outcome: Schema.Literal('produced', 'failed', 'unused'), producedMs: Span }),
  /** An owner found results missing. */
  Schema.Struct({ kind: Schema.Literal('reopen'), jobId: Id }),
  /** Results that lie at their makers, for the case that the coordinator is lost. */
  Schema.Struct({ kind: Schema.Literal('made'), jobId: Id, pieces: Schema.Array(MadePieceSchema) }),
  /** A call with pieces of the job was cut off. */
  Schema.Struct({ kind: Schema.Literal('lost'), jobId: Id, upstreamId: Id, sentBeforeMs: Span }),
  /** A job that was offered would be late. */
  Schema.Struct({ kind: Schema.Literal('declined'), jobId: Id, endInMs: Span }),
  /** The coordinator ends and leaves the job, with its results, to the next one. */
  Schema.Struct({ kind: Schema.Literal('moved'), jobId: Id }),
  /** The coordinator has all results. */
  Schema.Struct({
    kind: Schema.Literal('prepared'),
    jobId: Id,
    results: Schema.Array(ResultSchema),
    /** The upstream that should take the request; empty when there is none. */
    targetId: Schema.String,
    /** The upstream that the target should take the beginning of the prompt from; empty when there is none. */
    prefixSourceId: Schema.String,
    hall: Schema.String,
    times: Schema.Struct({ queuedMs: Span, madeMs: Span, betweenMs: Span })
  }),
  /** The coordinator gives the job up. */
  Schema.Struct({
    kind: Schema.Literal('refused'),
    jobId: Id,
    refusal: Schema.Struct({ reason: Schema.Literal('overloaded', 'tooLate', 'noUpstream', 'interrupted'), retryAfterMs: Span })
  }),
  /** What the owner knows of the upstreams that read its prompts, for a coordinator that may be new. */
  Schema.Struct({
    kind: Schema.Literal('prefixes'),
    hall: Schema.String.pipe(Schema.maxLength(256)),
    notes: Schema.Array(Schema.Struct({ shared: SharedSchema, targetId: Id, ageMs: Span })).pipe(Schema.maxItems(MAX_PREFIX_NOTES))
  }),
  /** Asks for one request at a limited upstream of a hall whose coordinator the receiver is. */
  Schema.Struct({
    kind: Schema.Literal('quotaWanted'),
    id: Count,
    upstreamId: Id,
    /** What the asker knows of the upstream's limit; an earlier version does not tell it. */
    limit: Schema.optional(Schema.Struct({ perS: Span, burst: Span }))
  }),
  /** Whether it may go; otherwise when it makes sense to ask again. */
  Schema.Struct({ kind: Schema.Literal('quotaAnswered'), id: Count, isGranted: Schema.Boolean, retryInMs: Span }),
  /** Asks whether the other side lives. */
  Schema.Struct({ kind: Schema.Literal('ping') }),
  Schema.Struct({ kind: Schema.Literal('pong') })
)

export type PreparationMessage = typeof PreparationMessageSchema.Type

export const checkPreparationMessage = createMessageCheck(PreparationMessageSchema, listKinds(PreparationMessageSchema.members))
