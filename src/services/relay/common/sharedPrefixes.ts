/**
 * The prefixes of a prompt that other requests may have as well. Callers choose the number of its parts, so their cost is linear in
 * the length of the prompt's description, and few of the prefixes of a prompt with many parts are listed.
 */
import { hashText } from '../../../base/common/rendezvous.ts'
import type { SharedPrefix } from '../../preparation/common/prefixIndex.ts'
import type { PromptPart, PromptShape } from './relayRequest.ts'

/** Of this many parts each prefix is listed; of more, so many for each doubling of their number. */
const DENSE_PARTS = 16
const PREFIXES_PER_DOUBLING = 4
/** Longer keys are hashed. */
const MAX_KEY_LENGTH = 256

/** The same prompt is looked up for each choice of an upstream. */
const listedPrefixes = new WeakMap<PromptShape, readonly SharedPrefix[]>()

/** Returns the listed prefixes, the shortest first; the longest is always among them. */
export function listSharedPrefixes (prompt: PromptShape): readonly SharedPrefix[] {
  let prefixes = listedPrefixes.get(prompt)
  if (prefixes === undefined) {
    prefixes = createSharedPrefixes(prompt.parts.slice(0, -1))
    listedPrefixes.set(prompt, prefixes)
  }
  return prefixes
}

function createSharedPrefixes (parts: readonly PromptPart[]): readonly SharedPrefix[] {
  const prefixes: SharedPrefix[] = []
  let ids: string[] = []
  let [key, tokens] = ['', 0]
  parts.forEach((part, index) => {
    ids.push(part.id)
    tokens += part.tokens
    if (!isListed(index + 1) && index + 1 < parts.length) return
    key = joinKey(key, ids)
    ids = []
    prefixes.push({ key, tokens })
  })
  return prefixes
}

/** Does not depend on the length of the prompt, so that prompts with a common beginning list the same prefixes of it. */
function isListed (partCount: number): boolean {
  if (partCount <= DENSE_PARTS) return true
  const doubling = 2 ** Math.floor(Math.log2(partCount))
  return partCount % Math.ceil(doubling / PREFIXES_PER_DOUBLING) === 0
}

function joinKey (key: string, ids: readonly string[]): string {
  const joined = key === '' ? ids.join('/') : `${key}/${ids.join('/')}`
  return joined.length <= MAX_KEY_LENGTH ? joined : `${joined.length}.${hashText(joined)}.${hashText(`/${joined}`)}`
}
