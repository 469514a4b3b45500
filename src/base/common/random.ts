/**
 * Seeded random numbers, so that tests can reproduce decisions.
 */
import { mersenne, unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import type { RandomGenerator } from 'pure-rand'

const RESOLUTION = 0x3fffffff

export interface IRandom {
  /** Returns a number from 0 up to but not including 1. */
  next (): number
}

/** Generates the same numbers for the same seed. */
export class SeededRandom implements IRandom {
  constructor (seed: number, private readonly _generator: RandomGenerator = xoroshiro128plus(seed)) {}

  /** Creates a generator whose first numbers for close seeds are unrelated; those of the default generator hardly differ. */
  static createMixed (seed: number): SeededRandom {
    return new SeededRandom(seed, mersenne(seed))
  }

  next (): number {
    return unsafeUniformIntDistribution(0, RESOLUTION - 1, this._generator) / RESOLUTION
  }
}

/** Returns a uniformly distributed number from `low` up to but not including `high`. */
export function drawBetween (random: IRandom, low: number, high: number): number {
  return low + random.next() * (high - low)
}

/** Returns a uniformly distributed integer from `min` up to and including `max`. */
export function drawInteger (random: IRandom, min: number, max: number): number {
  return min + Math.floor(random.next() * (max - min + 1))
}
