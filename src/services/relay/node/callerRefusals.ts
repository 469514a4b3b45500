/**
 * Refusals of callers' requests before they run.
 */
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import { OTHER_NODE_RETRY_MS } from '../common/relayProtocol.ts'
import type { RelayRefusal } from '../common/relayProtocol.ts'
import type { BodyResult } from './requestBody.ts'

/** Retry delay until a configuration, which is needed to check keys, is available; starting usually takes less time. */
const STARTUP_RETRY_MS = 250
/** Retry delay of a request for which this node has no resources. */
const OVERLOAD_RETRY_MS = 500

export function createRefusal (name: 'gateNotReady' | 'routeUnknown' | 'keyWrong' | 'requestTooLarge', message: string, isNotRun: boolean, value = ''): RelayRefusal {
  return { error: new PepperwoodError({ name, message, value }), isNotRun, retryAfterMs: isNotRun ? STARTUP_RETRY_MS : undefined }
}

export function createInvalidRefusal (message: string): RelayRefusal {
  return { error: new PepperwoodError({ name: 'requestInvalid', message }), isNotRun: false }
}

/** For a request that could not be done in time even alone, so that there is no better time to return. */
export function createInfeasibleRefusal (message: string): RelayRefusal {
  return { error: new PepperwoodError({ name: 'deadlineTooShort', message }), isNotRun: true }
}

export function createDrainingRefusal (): RelayRefusal {
  return { error: new PepperwoodError({ name: 'gateDraining', message: 'this node is stopping' }), isNotRun: true, retryAfterMs: OTHER_NODE_RETRY_MS }
}

/** For a request that finds no memory, no connection or too many running requests. */
export function createOverloadRefusal (message = 'this node has no memory or no connection left for the request'): RelayRefusal {
  return { error: new PepperwoodError({ name: 'overloaded', message }), isNotRun: true, retryAfterMs: OVERLOAD_RETRY_MS }
}

/** Returns undefined if the body is complete. */
export function createUploadRefusal (kind: BodyResult['kind']): RelayRefusal | undefined {
  switch (kind) {
    case 'complete': return undefined
    case 'tooLarge':
    case 'incomplete': return createRefusal('requestTooLarge', 'the request body is too large or incomplete', false)
    case 'noMemory': return createOverloadRefusal()
    case 'late': return createLateRefusal('the request body did not arrive in time')
    case 'stalled': return createLateRefusal('the request body stopped arriving')
  }
}

/** The upload was too slow, not the node, so the caller may try again at once. */
function createLateRefusal (message: string): RelayRefusal {
  return { error: new PepperwoodError({ name: 'deadlinePassed', message }), isNotRun: true, retryAfterMs: OTHER_NODE_RETRY_MS }
}
