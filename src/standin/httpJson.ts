/**
 * Reads and writes JSON bodies for the stand-ins' HTTP servers.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'

const MAX_BODY_BYTES = 8 * 1024 * 1024

/** Returns the parsed body; undefined if it is not valid JSON or exceeds `MAX_BODY_BYTES`. */
export async function readJson (request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = []
  let totalBytes = 0
  try {
    for await (const part of request as AsyncIterable<Buffer>) {
      totalBytes += part.length
      if (totalBytes > MAX_BODY_BYTES) return undefined
      chunks.push(part)
    }
    return JSON.parse(Buffer.concat(chunks).toString('utf8'))
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

/** Sends the beginning of the answer and closes the connection, to simulate a connection that breaks. */
export function sendTruncated (response: ServerResponse, body: object, bytes: number): void {
  const text = JSON.stringify(body)
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.write(text.slice(0, bytes), () => response.socket?.destroy())
}
