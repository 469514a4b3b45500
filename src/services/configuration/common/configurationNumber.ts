/**
 * The number of a configuration document. It only increases: operators increment the version with each document, and the
 * epoch when the versions have to restart.
 */
export interface ConfigurationNumber {
  readonly epoch: number
  readonly version: number
}

export const NO_CONFIGURATION: ConfigurationNumber = { epoch: 0, version: 0 }

/** Returns a negative number, zero or a positive number if a is lower than, equal to or higher than b. */
export function compareConfigurationNumbers (a: ConfigurationNumber, b: ConfigurationNumber): number {
  return a.epoch - b.epoch || a.version - b.version
}

export function formatConfigurationNumber (number: ConfigurationNumber): string {
  return `${number.epoch}.${number.version}`
}

/** A configuration number with the platform's revision of the write that stored the document. */
export interface ConfigurationStamp {
  readonly number: ConfigurationNumber
  readonly revision: number
}

/** Orders documents. If two operators use one number for different documents, the platform's later write is the higher one. */
export function compareConfigurationStamps (a: ConfigurationStamp, b: ConfigurationStamp): number {
  return compareConfigurationNumbers(a.number, b.number) || a.revision - b.revision
}
