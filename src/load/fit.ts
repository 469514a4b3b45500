/**
 * Fits measured points by straight lines over N, the logarithm of N, or nothing, and projects them.
 */

/** How a figure grows with the size. */
export type GrowthModel = 'constant' | 'log N' | 'N'

export interface Point {
  readonly size: number
  readonly value: number
}

export interface Fit {
  readonly model: GrowthModel
  readonly intercept: number
  readonly slope: number
  /** Root of the mean squared residual, in the figure's unit. */
  readonly residual: number
}

const TRANSFORMS: Readonly<Record<GrowthModel, (size: number) => number>> = {
  constant: () => 0,
  'log N': size => Math.log2(size),
  N: size => size
}

/** A richer model must lower the residual by so much to be preferred. */
const PREFERENCE = 0.75

function fitModel (model: GrowthModel, points: readonly Point[]): Fit {
  const transform = TRANSFORMS[model]
  const count = points.length
  const meanX = points.reduce((sum, point) => sum + transform(point.size), 0) / count
  const meanY = points.reduce((sum, point) => sum + point.value, 0) / count
  const spread = points.reduce((sum, point) => sum + (transform(point.size) - meanX) ** 2, 0)
  const common = points.reduce((sum, point) => sum + (transform(point.size) - meanX) * (point.value - meanY), 0)
  const slope = spread === 0 ? 0 : common / spread
  const intercept = meanY - slope * meanX
  const squares = points.reduce((sum, point) => sum + (point.value - intercept - slope * transform(point.size)) ** 2, 0)
  return { model, intercept, slope, residual: Math.sqrt(squares / count) }
}

/** The plainest model that fits nearly as well as the best. */
export function fitBest (points: readonly Point[]): Fit {
  const fits = (['constant', 'log N', 'N'] as const).map(model => fitModel(model, points))
  return fits.reduce((best, fit) => fit.residual < best.residual * PREFERENCE ? fit : best)
}

export function computeAt (fit: Fit, size: number): number {
  return fit.intercept + fit.slope * TRANSFORMS[fit.model](size)
}
