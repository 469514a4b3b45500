/**
 * Identity of a request for the quarantine. All of it is computed on first use, since most requests never need it.
 */
import { hashSha256 } from '../../../base/node/digest.ts'
import { MAX_REPORTED_PARTS } from '../../facts/common/fact.ts'
import { formatPartKey } from '../../quarantine/common/partKey.ts'
import type { IRequestIdentity } from '../../quarantine/common/requestIdentity.ts'
import { digestRequest } from '../../quarantine/node/requestDigest.ts'
import type { DigestInput } from '../../quarantine/node/requestDigest.ts'
import type { PromptShape } from '../common/relayRequest.ts'

/** Longer ids are hashed, since callers choose them and nodes exchange and log them. */
const MAX_PART_ID_LENGTH = 64

export class RequestFingerprint implements IRequestIdentity {
  readonly bodyBytes: number
  private _digest: string | undefined
  private _partKeys: readonly string[] | undefined

  constructor (private readonly _input: DigestInput, private readonly _prompt: PromptShape | undefined) {
    this.bodyBytes = _input.body.length
  }

  getDigest (): string {
    this._digest ??= digestRequest(this._input)
    return this._digest
  }

  getPartKeys (): readonly string[] {
    this._partKeys ??= [...new Set(this._prompt?.parts.slice(0, -1).slice(0, MAX_REPORTED_PARTS).map(({ id }) => formatPartKey(id.length > MAX_PART_ID_LENGTH ? hashSha256(id) : id)))]
    return this._partKeys
  }
}
