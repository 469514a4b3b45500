/**
 * Random numbers from a seed, so that decisions can be repeated in tests.
 */
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import type { RandomGenerator } from 'pure-rand'

const RESOLUTION = 0x3fffffff

/** A source of random numbers that is passed into decisions. */
export interface IRandom {
  /** A number from 0 up to but not including 1. */
  next (): number
}

/** A source that repeats its numbers for the same seed. */
export class SeededRandom implements IRandom {
  private readonly _generator: RandomGenerator

  constructor (seed: number) {
    this._generator = xoroshiro128plus(seed)
  }

  next (): number {
    return unsafeUniformIntDistribution(0, RESOLUTION - 1, this._generator) / RESOLUTION
  }
}

/** A number between two others. */
export function drawBetween (random: IRandom, low: number, high: number): number {
  return low + random.next() * (high - low)
}

/** A whole number from one up to and including another. */
export function drawCount (random: IRandom, least: number, most: number): number {
  return least + Math.floor(random.next() * (most - least + 1))
}
