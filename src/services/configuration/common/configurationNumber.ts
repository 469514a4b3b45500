/**
 * The number of a configuration document. It only grows: operators raise the version with each document,
 * and the epoch when numbering has to start anew.
 */
export interface ConfigurationNumber {
  readonly epoch: number
  readonly version: number
}

export const NO_CONFIGURATION: ConfigurationNumber = { epoch: 0, version: 0 }

/** Negative, zero or positive, as a is lower than, equal to or higher than b. */
export function compareNumbers (a: ConfigurationNumber, b: ConfigurationNumber): number {
  return a.epoch - b.epoch || a.version - b.version
}

export function formatNumber (number: ConfigurationNumber): string {
  return `${number.epoch}.${number.version}`
}

/** A number with the platform's revision of the write that brought it. */
export interface ConfigurationStamp {
  readonly number: ConfigurationNumber
  readonly revision: number
}

/**
 * Orders documents. Two operators may give different documents one number; then the platform's later write goes before.
 */
export function compareStamps (a: ConfigurationStamp, b: ConfigurationStamp): number {
  return compareNumbers(a.number, b.number) || a.revision - b.revision
}
