/**
 * Transfer of long configuration documents in parts. The receiver requests one part after the other, so that a document of any
 * length neither exceeds the size of a frame nor delays the other messages of its link.
 */
import { compareConfigurationStamps } from './configurationNumber.ts'
import type { ConfigurationStamp } from './configurationNumber.ts'
import type { ConfigurationText } from './configurationDocument.ts'

/** Longer documents are sent in parts. Earlier versions receive whole documents only, of up to this size. */
export const MAX_WHOLE_BYTES = 1024 * 1024
/** In UTF-16 code units, each of which takes at most 3 bytes in a frame. */
const PART_LENGTH = 256 * 1024

export interface DocumentPart extends ConfigurationStamp {
  /** Where the part begins in the document, in UTF-16 code units. */
  readonly offset: number
  readonly text: string
  readonly isLast: boolean
}

/** The next part to request, or the whole document. */
export type AssemblyStep =
  | { readonly kind: 'wanted', readonly offset: number }
  | { readonly kind: 'complete', readonly document: ConfigurationText }

/** Returns the part of a document that begins at an offset. */
export function createDocumentPart (document: ConfigurationText & ConfigurationStamp, offset: number): DocumentPart {
  const { text, number, revision } = document
  const end = findPartEnd(text, offset)
  return { number, revision, offset, text: text.slice(offset, end), isLast: end >= text.length }
}

/** A part never ends between the two halves of a surrogate pair, which would be lost when the part is encoded. */
function findPartEnd (text: string, offset: number): number {
  const end = offset + PART_LENGTH
  const lastUnit = text.charCodeAt(end - 1)
  return end < text.length && lastUnit >= 0xd800 && lastUnit <= 0xdbff ? end - 1 : end
}

/** Joins the parts of one document at a time. */
export class DocumentAssembler {
  private _stamp: ConfigurationStamp | undefined
  private _texts: string[] = []
  private _length = 0

  /** Returns undefined for a part that does not continue the document, which is ignored. */
  add ({ number, revision, offset, text, isLast }: DocumentPart): AssemblyStep | undefined {
    if (offset === 0) this._begin({ number, revision })
    const isExpected = this._stamp !== undefined && compareConfigurationStamps({ number, revision }, this._stamp) === 0 && offset === this._length
    if (!isExpected || (text === '' && !isLast)) return undefined
    this._texts.push(text)
    this._length += text.length
    if (!isLast) return { kind: 'wanted', offset: this._length }
    const document = { text: this._texts.join(''), revision }
    this._reset()
    return { kind: 'complete', document }
  }

  private _begin (stamp: ConfigurationStamp): void {
    this._reset()
    this._stamp = stamp
  }

  private _reset (): void {
    this._stamp = undefined
    this._texts = []
    this._length = 0
  }
}
