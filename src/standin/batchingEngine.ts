/**
 * Simulates a model engine with continuous batching: each step produces one token for every sequence in the batch, and
 * takes longer the larger the batch is. Prompts whose prefix is cached skip most of their prefill.
 */
import { computeToken, readTokenCount } from './modelAnswers.ts'
import type { StandinUpstreamSettings } from './standinSettings.ts'

export interface GenerationRequest {
  readonly attempt: string
  readonly role: string
  readonly input: string
  readonly previous: string
  readonly prefixKey: string
  readonly priority: number
  /** Number of tokens already produced by another engine; generation continues after them. */
  readonly offset: number
}

/** The state of a generation that moves from one engine to another. */
export interface ExportedGeneration extends GenerationRequest {
  readonly needsPrefill: boolean
}

/** Receives the tokens of a generation. */
export interface GenerationListener {
  onToken (index: number, text: string): void
  onEnd (generation: Generation): void
}

/** A generation that is queued, running, or ended within the retention period. */
export class Generation {
  /** Tokens produced by this engine, starting at the request's offset. */
  readonly tokens: string[] = []
  readonly tokenCount: number
  busyMs = 0
  hasEnded = false
  listener: GenerationListener | undefined

  constructor (readonly request: GenerationRequest, public remainingPrefillMs: number, readonly cachedTokens: number, listener: GenerationListener) {
    this.tokenCount = readTokenCount(request.input)
    this.listener = listener
  }
}

/** Share of the prefill time that a cached prefix saves. */
const CACHED_PREFILL_SHARE = 0.7
const CHARACTERS_PER_TOKEN = 4
/** How long a generation continues without a listener, and how long its tokens can be fetched after its end. */
const DETACHED_RETENTION_MS = 3000

export class BatchingEngine {
  private readonly _settings: StandinUpstreamSettings
  private readonly _queue: Generation[] = []
  private readonly _running: Generation[] = []
  private readonly _byAttempt = new Map<string, Generation>()
  private readonly _prefixCache = new Set<string>()
  private _timer: NodeJS.Timeout | undefined
  private _slowFactor = 1
  private _busyMs = 0
  private _startCount = 0
  private _prefixHitCount = 0

  constructor (settings: StandinUpstreamSettings) {
    this._settings = settings
  }

  get runningCount (): number {
    return this._running.length
  }

  get queuedCount (): number {
    return this._queue.length
  }

  /** Total time spent in steps, in milliseconds. */
  get busyMs (): number {
    return this._busyMs
  }

  /** Number of generations started, and how many of them had a cached prefix. */
  get prefixCounts (): { readonly starts: number, readonly hits: number } {
    return { starts: this._startCount, hits: this._prefixHitCount }
  }

  get cachedPrefixes (): readonly string[] {
    return [...this._prefixCache]
  }

  get isFull (): boolean {
    return this._running.length >= this._settings.capacity && this._queue.length >= this._settings.max_queue
  }

  /** Multiplies the duration of every step. */
  setSlowFactor (slowFactor: number): void {
    this._slowFactor = slowFactor
  }

  start (request: GenerationRequest, listener: GenerationListener): Generation {
    const isCached = this._prefixCache.has(request.prefixKey)
    if (isCached) this._prefixHitCount++
    this._startCount++
    this._touchPrefix(request.prefixKey)
    const prefillMs = this._settings.prefill_ms * (isCached ? 1 - CACHED_PREFILL_SHARE : 1)
    const cachedTokens = isCached ? Math.ceil(request.input.length / CHARACTERS_PER_TOKEN) : 0
    const generation = new Generation(request, prefillMs, cachedTokens, listener)
    this._byAttempt.set(request.attempt, generation)
    this._queue.push(generation)
    this._queue.sort((a, b) => b.request.priority - a.request.priority)
    this._scheduleStep()
    return generation
  }

  /** Cancels a generation and returns the state from which another engine can continue it. */
  exportState (attempt: string): ExportedGeneration | undefined {
    const generation = this._byAttempt.get(attempt)
    if (generation === undefined || generation.hasEnded) return undefined
    this.cancel(generation)
    return { ...generation.request, offset: generation.request.offset + generation.tokens.length, needsPrefill: generation.remainingPrefillMs > 0 }
  }

  /** Continues a generation from another engine; a prefill that is complete is not repeated. */
  importState (state: ExportedGeneration, listener: GenerationListener): Generation {
    const generation = this.start(state, listener)
    if (!state.needsPrefill) generation.remainingPrefillMs = 0
    return generation
  }

  find (attempt: string): Generation | undefined {
    return this._byAttempt.get(attempt)
  }

  /** Continues without a listener for `DETACHED_RETENTION_MS`, then cancels unless a listener was attached again. */
  detach (generation: Generation): void {
    generation.listener = undefined
    const timer = setTimeout(() => { if (generation.listener === undefined) this.cancel(generation) }, DETACHED_RETENTION_MS)
    timer.unref()
  }

  /** Delivers the tokens already produced from an offset on, then those that follow. */
  attach (generation: Generation, offset: number, listener: GenerationListener): void {
    const firstIndex = generation.request.offset
    generation.tokens.forEach((text, index) => { if (firstIndex + index >= offset) listener.onToken(firstIndex + index, text) })
    if (generation.hasEnded) return listener.onEnd(generation)
    generation.listener = listener
  }

  cancel (generation: Generation): void {
    generation.hasEnded = true
    this._byAttempt.delete(generation.request.attempt)
    removeItem(this._queue, generation)
    removeItem(this._running, generation)
  }

  /** Discards all generations and the cache, as in a crash. */
  clear (): void {
    clearTimeout(this._timer)
    this._timer = undefined
    for (const generation of this._byAttempt.values()) generation.hasEnded = true
    this._queue.length = 0
    this._running.length = 0
    this._byAttempt.clear()
    this._prefixCache.clear()
  }

  private _scheduleStep (): void {
    if (this._timer !== undefined || this._running.length + this._queue.length === 0) return
    while (this._running.length < this._settings.capacity) {
      const next = this._queue.shift()
      if (next === undefined) break
      this._running.push(next)
    }
    const stepMs = (this._settings.base_ms + this._settings.per_sequence_ms * (this._running.length - 1)) * this._slowFactor
    const startedAt = performance.now()
    this._timer = setTimeout(() => {
      this._timer = undefined
      this._completeStep(performance.now() - startedAt)
      this._scheduleStep()
    }, stepMs)
  }

  private _completeStep (elapsedMs: number): void {
    this._busyMs += elapsedMs
    const shareMs = elapsedMs / this._running.length
    for (const generation of [...this._running]) {
      generation.busyMs += shareMs
      if (generation.remainingPrefillMs > 0) generation.remainingPrefillMs -= elapsedMs / this._slowFactor
      else this._produceToken(generation)
    }
  }

  private _produceToken (generation: Generation): void {
    const { role, input, previous, offset } = generation.request
    const index = offset + generation.tokens.length
    if (index < generation.tokenCount) {
      const text = computeToken(role, input, previous, index)
      generation.tokens.push(text)
      generation.listener?.onToken(index, text)
    }
    if (offset + generation.tokens.length < generation.tokenCount) return
    generation.hasEnded = true
    removeItem(this._running, generation)
    generation.listener?.onEnd(generation)
    const timer = setTimeout(() => this._byAttempt.delete(generation.request.attempt), DETACHED_RETENTION_MS)
    timer.unref()
  }

  /** Marks a prefix as most recently used, and evicts the least recently used one if the cache is full. */
  private _touchPrefix (prefixKey: string): void {
    this._prefixCache.delete(prefixKey)
    this._prefixCache.add(prefixKey)
    if (this._prefixCache.size <= this._settings.cache_size) return
    const oldest = this._prefixCache.values().next().value
    if (oldest !== undefined) this._prefixCache.delete(oldest)
  }
}

function removeItem<T> (items: T[], item: T): void {
  const index = items.indexOf(item)
  if (index >= 0) items.splice(index, 1)
}
