/**
 * Reads the bodies of callers' requests.
 */
import type { IncomingMessage } from 'node:http'
import type { IClock } from '../../../base/common/clock.ts'
import type { IDisposable } from '../../../base/common/disposable.ts'
import { hasBody } from '../../../base/node/httpParsing.ts'
import { BlockBuffer } from '../../../base/common/blockBuffer.ts'
import type { BlockPool } from '../../../base/common/blockBuffer.ts'
import type { MemoryLease } from '../../ingress/common/memoryBudget.ts'

export interface ReadBodyOptions {
  readonly clock: IClock
  readonly maxBytes: number
  /** A body that is not complete after this time is given up: the request cannot be answered in time. */
  readonly timeLeftMs: number
  /** A body of which nothing arrives for this time is given up, at the latest after twice the time. */
  readonly idleTimeoutMs: number
  readonly pool: BlockPool
  /** What the request holds; a complete body stays part of it. */
  readonly memory: MemoryLease
  /** Called for each PROGRESS_BYTES that have arrived. */
  readonly onDidProgress: () => void
  /** Gives up a body that has not arrived completely. The connection stays open, so that the caller can be answered. */
  readonly signal: AbortSignal
}

export type BodyResult =
  | { readonly kind: 'complete', readonly body: Buffer }
  | { readonly kind: 'tooLarge' | 'incomplete' | 'noMemory' | 'late' | 'stalled' }

/** A body makes progress with each part of this size. */
const PROGRESS_BYTES = 4096

export function readRequestBody (request: IncomingMessage, { clock, maxBytes, timeLeftMs, idleTimeoutMs, pool, memory, onDidProgress, signal }: ReadBodyOptions): Promise<BodyResult> {
  const buffer = new BlockBuffer({ pool, reserve: bytes => memory.reserve(bytes), release: bytes => memory.release(bytes) })
  const startedAt = clock.now()
  let progressBytes = 0
  let checkedAt = startedAt
  let hasReceived = true
  let timer: IDisposable | undefined
  return new Promise(resolve => {
    const settle = (result: BodyResult) => {
      request.off('data', addPart).off('end', complete).off('close', abandon)
      signal.removeEventListener('abort', abandon)
      timer?.dispose()
      memory.setEviction(undefined)
      buffer.clear()
      // What still arrives is discarded.
      request.resume()
      resolve(result)
    }
    const checkTime = () => {
      const now = clock.now()
      const lateInMs = startedAt + timeLeftMs - now
      if (hasReceived) checkedAt = now
      hasReceived = false
      if (lateInMs <= 0) settle({ kind: 'late' })
      else if (now - checkedAt >= idleTimeoutMs) settle({ kind: 'stalled' })
      else timer = clock.schedule(Math.min(lateInMs, idleTimeoutMs), checkTime)
    }
    const addPart = (part: Buffer) => {
      hasReceived = true
      if (buffer.length + part.length > maxBytes) return settle({ kind: 'tooLarge' })
      if (!buffer.append(part)) return settle({ kind: 'noMemory' })
      if (buffer.length - progressBytes < PROGRESS_BYTES) return
      progressBytes = buffer.length
      memory.recordProgress()
      onDidProgress()
    }
    const complete = () => {
      if (!request.complete) return settle({ kind: 'incomplete' })
      const body = buffer.take()
      settle(body === undefined ? { kind: 'noMemory' } : { kind: 'complete', body })
    }
    const abandon = () => settle({ kind: 'incomplete' })
    // An error is followed by the close.
    request.on('error', () => {})
    if (signal.aborted || request.destroyed) return settle({ kind: 'incomplete' })
    if (Number(request.headers['content-length'] ?? 0) > maxBytes) return settle({ kind: 'tooLarge' })
    request.on('data', addPart).on('end', complete).on('close', abandon)
    signal.addEventListener('abort', abandon, { once: true })
    memory.setEviction(() => settle({ kind: 'noMemory' }))
    if (hasBody(request)) checkTime()
  })
}
