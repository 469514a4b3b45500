/**
 * Fits measured points by least squares with a constant, a line over log N or a line over N, and extrapolates them.
 */

export type GrowthModel = 'constant' | 'log N' | 'N'

export interface Point {
  readonly size: number
  readonly value: number
}

export interface Fit {
  readonly model: GrowthModel
  readonly intercept: number
  readonly slope: number
  /** Root mean square error, in the unit of the values. */
  readonly residual: number
}

const TRANSFORMS: Readonly<Record<GrowthModel, (size: number) => number>> = {
  constant: () => 0,
  'log N': size => Math.log2(size),
  N: size => size
}

/** A model with faster growth is preferred only if its residual is below this share of the simpler model's. */
const MAX_RESIDUAL_RATIO = 0.75

function fitModel (model: GrowthModel, points: readonly Point[]): Fit {
  const transform = TRANSFORMS[model]
  const count = points.length
  const meanX = points.reduce((sum, point) => sum + transform(point.size), 0) / count
  const meanY = points.reduce((sum, point) => sum + point.value, 0) / count
  const sumXX = points.reduce((sum, point) => sum + (transform(point.size) - meanX) ** 2, 0)
  const sumXY = points.reduce((sum, point) => sum + (transform(point.size) - meanX) * (point.value - meanY), 0)
  const slope = sumXX === 0 ? 0 : sumXY / sumXX
  const intercept = meanY - slope * meanX
  const squaredResiduals = points.reduce((sum, point) => sum + (point.value - intercept - slope * transform(point.size)) ** 2, 0)
  return { model, intercept, slope, residual: Math.sqrt(squaredResiduals / count) }
}

/** Returns the simplest model whose residual is not clearly higher than that of a model with faster growth. */
export function fitBest (points: readonly Point[]): Fit {
  const fits = (['constant', 'log N', 'N'] as const).map(model => fitModel(model, points))
  return fits.reduce((best, fit) => fit.residual < best.residual * MAX_RESIDUAL_RATIO ? fit : best)
}

export function predictAt (fit: Fit, size: number): number {
  return fit.intercept + fit.slope * TRANSFORMS[fit.model](size)
}
