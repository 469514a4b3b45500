/**
 * Reads the bodies of responses within bounds: an upstream in trouble may send bytes without end.
 */
import type { IncomingMessage } from 'node:http'
import type { ExchangeStart } from './httpExchange.ts'

/** An exchange whose response has begun. */
export type StartedExchange = Extract<ExchangeStart, { readonly kind: 'response' }>

const MAX_DRAINED_BYTES = 64 * 1024
const MAX_DRAIN_MS = 1000

/** Reads a body of bounded size; undefined if it was truncated or is too large. The caller bounds the time. */
export async function readBody ({ response, exchange }: StartedExchange, maxBytes: number): Promise<string | undefined> {
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of response as AsyncIterable<Buffer>) {
      size += chunk.length
      if (size > maxBytes) {
        response.destroy()
        return undefined
      }
      chunks.push(chunk)
    }
  } catch {
    return undefined
  }
  return await exchange.confirmComplete() ? Buffer.concat(chunks).toString('utf8') : undefined
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
