/**
 * Reads the bodies of callers' requests.
 */
import type { IncomingMessage } from 'node:http'
import { BlockBuffer } from '../../../base/common/blockBuffer.ts'
import type { BlockBufferOptions } from '../../../base/common/blockBuffer.ts'

export interface ReadBodyOptions {
  readonly maxBytes: number
  readonly blocks: BlockBufferOptions
  /** Gives up a body that has not arrived completely. The connection stays open, so that the caller can be answered. */
  readonly signal: AbortSignal
}

/** Resolves with undefined if the body is too large or incomplete. */
export function readRequestBody (request: IncomingMessage, { maxBytes, blocks, signal }: ReadBodyOptions): Promise<Buffer | undefined> {
  const buffer = new BlockBuffer(blocks)
  return new Promise(resolve => {
    const settle = (body: Buffer | undefined) => {
      request.off('data', addPart).off('end', complete).off('close', abandon)
      signal.removeEventListener('abort', abandon)
      buffer.clear()
      // What still arrives is discarded.
      request.resume()
      resolve(body)
    }
    const addPart = (part: Buffer) => {
      if (buffer.length + part.length > maxBytes || !buffer.append(part)) settle(undefined)
    }
    const complete = () => settle(request.complete ? buffer.take() : undefined)
    const abandon = () => settle(undefined)
    // An error is followed by the close.
    request.on('error', () => {})
    if (signal.aborted || request.destroyed || Number(request.headers['content-length'] ?? 0) > maxBytes) return settle(undefined)
    request.on('data', addPart).on('end', complete).on('close', abandon)
    signal.addEventListener('abort', abandon, { once: true })
  })
}
