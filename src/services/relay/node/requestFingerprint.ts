/**
 * Identity of a request for the quarantine. The digest is computed on first use, since most requests never need it.
 */
import { digestRequest } from '../../quarantine/node/requestDigest.ts'
import type { RequestIdentity } from '../../quarantine/node/requestDigest.ts'
import type { IRequestDigest } from '../../quarantine/common/quarantine.ts'

export class RequestFingerprint implements IRequestDigest {
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
