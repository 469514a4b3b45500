/**
 * How the rules of a configuration document tell what breaks them.
 */

/** Takes in a broken rule: the place, the value found there and what was expected. */
export type Report = (path: string, value: string, message: string) => void
