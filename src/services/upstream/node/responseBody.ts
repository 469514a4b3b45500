/**
 * Reads the bodies of responses within bounds: an upstream in trouble may send bytes without end.
 */
import type { IncomingMessage } from 'node:http'
import type { ExchangeStart } from './httpExchange.ts'

/** An exchange whose response has begun. */
export type StartedExchange = Extract<ExchangeStart, { readonly kind: 'response' }>

const MAX_DRAINED_BYTES = 64 * 1024
const MAX_DRAIN_MS = 1000

export type BodyResult =
  | { readonly kind: 'whole', readonly text: string }
  | { readonly kind: 'truncated' }
  | { readonly kind: 'tooLong' }

/** Reads a body of bounded size; undefined if it was truncated or is too large. The caller bounds the time. */
export async function readBody (start: StartedExchange, maxBytes: number): Promise<string | undefined> {
  const body = await readBodyResult(start, maxBytes)
  return body.kind === 'whole' ? body.text : undefined
}

/** Like `readBody`, for callers that handle a body differently if it is too large. */
export async function readBodyResult ({ response, exchange }: StartedExchange, maxBytes: number): Promise<BodyResult> {
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of response as AsyncIterable<Buffer>) {
      size += chunk.length
      if (size > maxBytes) {
        response.destroy()
        return { kind: 'tooLong' }
      }
      chunks.push(chunk)
    }
  } catch {
    return { kind: 'truncated' }
  }
  return await exchange.confirmComplete() ? { kind: 'whole', text: Buffer.concat(chunks).toString('utf8') } : { kind: 'truncated' }
}

/** Discards the rest of a response, so that its connection can be used again, or closes it if that is too long or takes too long. */
export function drainBody (response: IncomingMessage): void {
  let size = 0
  const timer = setTimeout(() => response.destroy(), MAX_DRAIN_MS)
  response.once('close', () => clearTimeout(timer))
  response.on('data', (chunk: Buffer | string) => {
    size += chunk.length
    if (size > MAX_DRAINED_BYTES) response.destroy()
  })
}
