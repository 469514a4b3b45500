/**
 * A model engine that batches continuously: each step gives one token to every sequence of the batch and takes longer the
 * fuller the batch is. Prompts whose prefix is cached skip most of their prefill.
 */
import { computeToken, readTokenCount } from './modelAnswers.ts'
import type { StandinUpstream } from './standinSettings.ts'

/** A generation as it is asked for. */
export interface GenerationRequest {
  readonly attempt: string
  readonly role: string
  readonly input: string
  readonly previous: string
  readonly prefixKey: string
  readonly priority: number
  /** Tokens that were produced elsewhere before. */
  readonly offset: number
}

/** A generation on its way from one engine to another. */
export interface ExportedGeneration extends GenerationRequest {
  readonly needsPrefill: boolean
}

/** Where the tokens of a generation go. */
export interface GenerationReader {
  onToken (index: number, text: string): void
  onEnd (generation: Generation): void
}

/** A generation in progress, or one that ended lately. */
export class Generation {
  /** Tokens produced here, from the request's offset on. */
  readonly tokens: string[] = []
  readonly tokenCount: number
  busyMs = 0
  isOver = false
  reader: GenerationReader | undefined

  constructor (readonly request: GenerationRequest, public prefillLeftMs: number, readonly cachedTokens: number, reader: GenerationReader) {
    this.tokenCount = readTokenCount(request.input)
    this.reader = reader
  }
}

/** The part of the prefill that a cached prefix saves. */
const CACHED_PART = 0.7
const CHARACTERS_PER_TOKEN = 4
/** How long a generation that nobody reads goes on, and how long its tokens can be fetched. */
const DETACHED_MS = 3000

export class BatchingEngine {
  private readonly _settings: StandinUpstream
  private readonly _waiting: Generation[] = []
  private readonly _running: Generation[] = []
  private readonly _byAttempt = new Map<string, Generation>()
  private readonly _cache = new Set<string>()
  private _timer: NodeJS.Timeout | undefined
  private _slow = 1
  private _busyMs = 0
  private _starts = 0
  private _prefixHits = 0

  constructor (settings: StandinUpstream) {
    this._settings = settings
  }

  get runningCount (): number {
    return this._running.length
  }

  get waitingCount (): number {
    return this._waiting.length
  }

  /** Time spent in steps, in milliseconds. */
  get busyMs (): number {
    return this._busyMs
  }

  /** Generations begun, and how many of them found their prefix cached. */
  get prefixCounts (): { readonly starts: number, readonly hits: number } {
    return { starts: this._starts, hits: this._prefixHits }
  }

  get cachedPrefixes (): readonly string[] {
    return [...this._cache]
  }

  get isFull (): boolean {
    return this._running.length >= this._settings.capacity && this._waiting.length >= this._settings.max_queue
  }

  setSlow (slow: number): void {
    this._slow = slow
  }

  start (request: GenerationRequest, reader: GenerationReader): Generation {
    const isCached = this._cache.has(request.prefixKey)
    if (isCached) this._prefixHits++
    this._starts++
    this._touch(request.prefixKey)
    const prefillMs = this._settings.prefill_ms * (isCached ? 1 - CACHED_PART : 1)
    const cachedTokens = isCached ? Math.ceil(request.input.length / CHARACTERS_PER_TOKEN) : 0
    const generation = new Generation(request, prefillMs, cachedTokens, reader)
    this._byAttempt.set(request.attempt, generation)
    this._waiting.push(generation)
    this._waiting.sort((a, b) => b.request.priority - a.request.priority)
    this._schedule()
    return generation
  }

  /** Takes a generation out of this engine, with all that another engine needs to go on with it. */
  exportState (attempt: string): ExportedGeneration | undefined {
    const generation = this._byAttempt.get(attempt)
    if (generation === undefined || generation.isOver) return undefined
    this.cancel(generation)
    return { ...generation.request, offset: generation.request.offset + generation.tokens.length, needsPrefill: generation.prefillLeftMs > 0 }
  }

  /** Goes on with a generation from another engine; its prompt is not computed again. */
  importState (state: ExportedGeneration, reader: GenerationReader): Generation {
    const generation = this.start(state, reader)
    if (!state.needsPrefill) generation.prefillLeftMs = 0
    return generation
  }

  find (attempt: string): Generation | undefined {
    return this._byAttempt.get(attempt)
  }

  /** Goes on without a reader for a while, so that the rest can be fetched. */
  detach (generation: Generation): void {
    generation.reader = undefined
    const timer = setTimeout(() => { if (generation.reader === undefined) this.cancel(generation) }, DETACHED_MS)
    timer.unref()
  }

  /** Hands out what was produced from an offset on, and what comes. */
  attach (generation: Generation, offset: number, reader: GenerationReader): void {
    const first = generation.request.offset
    generation.tokens.forEach((text, index) => { if (first + index >= offset) reader.onToken(first + index, text) })
    if (generation.isOver) return reader.onEnd(generation)
    generation.reader = reader
  }

  cancel (generation: Generation): void {
    generation.isOver = true
    this._byAttempt.delete(generation.request.attempt)
    removeItem(this._waiting, generation)
    removeItem(this._running, generation)
  }

  /** Forgets everything, as a crash does. */
  clear (): void {
    clearTimeout(this._timer)
    this._timer = undefined
    for (const generation of this._byAttempt.values()) generation.isOver = true
    this._waiting.length = 0
    this._running.length = 0
    this._byAttempt.clear()
    this._cache.clear()
  }

  private _schedule (): void {
    if (this._timer !== undefined || this._running.length + this._waiting.length === 0) return
    while (this._running.length < this._settings.capacity) {
      const next = this._waiting.shift()
      if (next === undefined) break
      this._running.push(next)
    }
    const stepMs = (this._settings.base_ms + this._settings.per_sequence_ms * (this._running.length - 1)) * this._slow
    const startedAt = performance.now()
    this._timer = setTimeout(() => {
      this._timer = undefined
      this._step(performance.now() - startedAt)
      this._schedule()
    }, stepMs)
  }

  private _step (elapsedMs: number): void {
    this._busyMs += elapsedMs
    const share = elapsedMs / this._running.length
    for (const generation of [...this._running]) {
      generation.busyMs += share
      if (generation.prefillLeftMs > 0) generation.prefillLeftMs -= elapsedMs / this._slow
      else this._produce(generation)
    }
  }

  private _produce (generation: Generation): void {
    const { role, input, previous, offset } = generation.request
    const index = offset + generation.tokens.length
    if (index < generation.tokenCount) {
      const text = computeToken(role, input, previous, index)
      generation.tokens.push(text)
      generation.reader?.onToken(index, text)
    }
    if (offset + generation.tokens.length < generation.tokenCount) return
    generation.isOver = true
    removeItem(this._running, generation)
    generation.reader?.onEnd(generation)
    const timer = setTimeout(() => this._byAttempt.delete(generation.request.attempt), DETACHED_MS)
    timer.unref()
  }

  private _touch (prefixKey: string): void {
    this._cache.delete(prefixKey)
    this._cache.add(prefixKey)
    if (this._cache.size <= this._settings.cache_size) return
    const oldest = this._cache.values().next().value
    if (oldest !== undefined) this._cache.delete(oldest)
  }
}

function removeItem<T> (items: T[], item: T): void {
  const index = items.indexOf(item)
  if (index >= 0) items.splice(index, 1)
}
