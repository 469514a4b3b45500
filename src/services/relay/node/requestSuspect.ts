/**
 * A request as the quarantine sees it: its digest is made when it is first asked for, and what is held against it is
 * looked up before each send.
 */
import { digestRequest } from '../../quarantine/node/requestDigest.ts'
import type { RequestIdentity } from '../../quarantine/node/requestDigest.ts'
import type { ISuspect } from '../../quarantine/common/quarantine.ts'

export class RequestSuspect implements ISuspect {
  readonly bodyBytes: number
  private _digest: string | undefined

  constructor (private readonly _identity: RequestIdentity) {
    this.bodyBytes = _identity.body.length
  }

  getDigest (): string {
    this._digest ??= digestRequest(this._identity)
    return this._digest
  }
}
