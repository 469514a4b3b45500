/**
 * Reads the bodies of callers' requests.
 */
import type { IncomingMessage } from 'node:http'

export interface ReadBodyOptions {
  readonly maxBytes: number
  /** Gives up a body that has not arrived completely. The connection stays open, so that the caller can be answered. */
  readonly signal: AbortSignal
}

/** Resolves with undefined if the body is too large or incomplete. */
export function readRequestBody (request: IncomingMessage, { maxBytes, signal }: ReadBodyOptions): Promise<Buffer | undefined> {
  const parts: Buffer[] = []
  let size = 0
  return new Promise(resolve => {
    const settle = (body: Buffer | undefined) => {
      request.off('data', addPart).off('end', complete).off('close', abandon)
      signal.removeEventListener('abort', abandon)
      // What still arrives is discarded.
      request.resume()
      resolve(body)
    }
    const addPart = (part: Buffer) => {
      parts.push(part)
      size += part.length
      if (size > maxBytes) settle(undefined)
    }
    const complete = () => settle(request.complete ? Buffer.concat(parts) : undefined)
    const abandon = () => settle(undefined)
    // An error is followed by the close.
    request.on('error', () => {})
    if (signal.aborted || request.destroyed || Number(request.headers['content-length'] ?? 0) > maxBytes) return settle(undefined)
    request.on('data', addPart).on('end', complete).on('close', abandon)
    signal.addEventListener('abort', abandon, { once: true })
  })
}
