/**
 * The requests of callers whose bodies have not arrived completely. Nothing of them was sent to an upstream, so each can be given up.
 */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { BlockPool } from '../../../base/common/blockBuffer.ts'
import type { IClock } from '../../../base/common/clock.ts'
import type { MemoryLease } from '../../ingress/common/memoryBudget.ts'
import { readRequestBody } from './requestBody.ts'
import type { BodyResult } from './requestBody.ts'

export interface CallerUploadsOptions {
  readonly clock: IClock
  readonly getMaxBodyBytes: () => number
  /** An upload of which nothing arrives for this time is given up. */
  readonly getIdleTimeoutMs: () => number
  /** Called when a part of a body has arrived on a connection. */
  readonly onDidProgress: (socket: Socket) => void
}

interface Upload {
  readonly socket: Socket
  readonly memory: MemoryLease
  readonly controller: AbortController
}

/** Blocks of bodies that are kept for later bodies. */
const MAX_FREE_BLOCK_BYTES = 8 * 1024 * 1024

export class CallerUploads {
  private readonly _pool = new BlockPool({ maxFreeBytes: MAX_FREE_BLOCK_BYTES })
  private readonly _uploads = new Set<Upload>()

  constructor (private readonly _options: CallerUploadsOptions) {}

  /** Reads the body of a request that can still be answered in `timeLeftMs`; the body becomes part of what the request holds. */
  async read (incoming: IncomingMessage, memory: MemoryLease, timeLeftMs: number): Promise<BodyResult> {
    const { clock, getMaxBodyBytes, getIdleTimeoutMs, onDidProgress } = this._options
    const { socket } = incoming
    const upload: Upload = { socket, memory, controller: new AbortController() }
    this._uploads.add(upload)
    try {
      return await readRequestBody(incoming, {
        clock,
        timeLeftMs,
        idleTimeoutMs: getIdleTimeoutMs(),
        maxBytes: getMaxBodyBytes(),
        pool: this._pool,
        memory,
        onDidProgress: () => onDidProgress(socket),
        signal: upload.controller.signal
      })
    } finally {
      this._uploads.delete(upload)
    }
  }

  /** Gives up the upload of a connection, so that its request is refused; false if there is none. */
  abort (socket: Socket): boolean {
    const upload = [...this._uploads].find(other => other.socket === socket)
    upload?.memory.evict()
    return upload !== undefined
  }

  abortAll (): void {
    for (const { controller } of this._uploads) controller.abort()
  }
}
