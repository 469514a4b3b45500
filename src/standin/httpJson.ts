/**
 * JSON over HTTP for the stand-ins.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'

const MAX_BODY_BYTES = 8 * 1024 * 1024

/** The body as JSON; undefined when it is none, or too large. */
export async function readJson (request: IncomingMessage): Promise<unknown> {
  const parts: Buffer[] = []
  let size = 0
  try {
    for await (const part of request as AsyncIterable<Buffer>) {
      size += part.length
      if (size > MAX_BODY_BYTES) return undefined
      parts.push(part)
    }
    return JSON.parse(Buffer.concat(parts).toString('utf8'))
  } catch {
    return undefined
  }
}

export function sendJson (response: ServerResponse, status: number, body: object): void {
  if (response.writableEnded || response.destroyed) return
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

/** Cuts the connection after so many bytes of the answer. */
export function sendTorn (response: ServerResponse, body: object, bytes: number): void {
  const text = JSON.stringify(body)
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.write(text.slice(0, bytes), () => response.socket?.destroy())
}
