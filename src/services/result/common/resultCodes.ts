/**
 * The result codes of the system. docs/RESULT_CODES.md lists the same codes, and a test compares the two.
 *
 * 1xx: settings and configuration. 2xx: refused requests. 3xx: requests that ended without a whole answer.
 * 4xx: frames between processes. 5xx: upstreams. 9xx: internal errors.
 */
export const resultCodes = {
  settingsUnreadable: 101,
  settingsInvalid: 102,
  configurationUnreadable: 111,
  configurationInvalid: 112,
  configurationNotHigher: 113,
  requestInvalid: 201,
  customerUnknown: 202,
  keyWrong: 203,
  pipelineUnknown: 204,
  pipelineForbidden: 205,
  sessionUnknown: 206,
  sessionElsewhere: 207,
  requestTooLarge: 208,
  numberReused: 209,
  outcomeForgotten: 210,
  requestUnknown: 211,
  checkpointInvalid: 212,
  gateNotReady: 213,
  gateDraining: 214,
  configurationBehind: 215,
  overloaded: 216,
  deadlineTooShort: 217,
  sessionLimit: 218,
  sessionOutdated: 219,
  routeUnknown: 220,
  requestQuarantined: 221,
  deadlinePassed: 301,
  cancelled: 302,
  stageFailed: 303,
  outcomeUnknown: 304,
  answerTorn: 305,
  frameTooLarge: 401,
  frameUnreadable: 402,
  frameInvalid: 403,
  messageUnknown: 404,
  upstreamUnreachable: 501,
  upstreamRefused: 502,
  upstreamFailed: 503,
  upstreamAnswerInvalid: 504,
  upstreamAnswerForeign: 505,
  upstreamConnectionLost: 506,
  upstreamNoneLeft: 507,
  internal: 901
} as const

export type ResultName = keyof typeof resultCodes
