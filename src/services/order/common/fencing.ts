/**
 * Fencing numbers of orders: epoch, version and term packed into one number that only grows.
 * The term comes from the engine itself, which is the only place where the last number is kept.
 */
import type { ConfigurationNumber } from '../../configuration/common/configurationNumber.ts'

const TERM_BITS = 12
const VERSION_BITS = 28
const TERMS = 2 ** TERM_BITS
const VERSIONS = 2 ** VERSION_BITS
/** Epochs that fit beside version and term into an exact integer. */
export const MAX_EPOCH = 2 ** (53 - TERM_BITS - VERSION_BITS) - 1
export const MAX_VERSION = VERSIONS - 1

/** The next number for an engine that took its last order under `last`. */
export function computeNextFencing (number: ConfigurationNumber, last: number): number {
  const base = (number.epoch * VERSIONS + number.version) * TERMS
  return Math.max(base + 1, last + 1)
}

/** Whether an engine already took an order of a higher configuration than this one. */
export function isOutdated (number: ConfigurationNumber, last: number): boolean {
  return Math.floor(last / TERMS) > number.epoch * VERSIONS + number.version
}
