/**
 * Fencing numbers of orders: epoch, version and term packed into one increasing number. The term continues from the last
 * number reported by the engine, because only the engine stores it.
 */
import type { ConfigurationNumber } from '../../configuration/common/configurationNumber.ts'

const TERM_BITS = 12
const VERSION_BITS = 28
const TERM_COUNT = 2 ** TERM_BITS
const VERSION_COUNT = 2 ** VERSION_BITS
/** The highest epoch that, packed with version and term, still fits into a 53-bit safe integer. */
export const MAX_EPOCH = 2 ** (53 - TERM_BITS - VERSION_BITS) - 1
export const MAX_VERSION = VERSION_COUNT - 1

/** Returns the next number for an engine that accepted its last order with `lastFencing`. */
export function computeNextFencing (number: ConfigurationNumber, lastFencing: number): number {
  const base = (number.epoch * VERSION_COUNT + number.version) * TERM_COUNT
  return Math.max(base + 1, lastFencing + 1)
}

/** Whether the engine has already accepted an order from a higher configuration than this one. */
export function isOutdated (number: ConfigurationNumber, lastFencing: number): boolean {
  return Math.floor(lastFencing / TERM_COUNT) > number.epoch * VERSION_COUNT + number.version
}
