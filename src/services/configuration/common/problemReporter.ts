/**
 * The callback with which the rules of a configuration document report violations.
 */

/** Reports a violated rule: the path in the document, the value found there and what was expected. */
export type ProblemReporter = (path: string, value: string, message: string) => void
