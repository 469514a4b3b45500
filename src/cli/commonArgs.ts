/**
 * Arguments, calls and output shared by the commands.
 */
import { parseAddress } from '../base/common/address.ts'
import { exitCodes, exitWith } from '../services/program/node/program.ts'
import { PepperwoodError } from '../services/result/common/pepperwoodError.ts'

const CALL_TIMEOUT_MS = 5000

export const gateArgument = {
  type: 'string',
  description: 'Address of a gate or steward, or several separated by commas, which are tried in order',
  valueHint: 'IP:PORT',
  default: '127.0.0.1:8000'
} as const

export const jsonArgument = { type: 'boolean', description: 'Print JSON', default: false } as const

/** Parses a comma-separated list of addresses; ends the process with a usage error if one is invalid. */
export function parseAddresses (text: string): readonly string[] {
  const addresses = text.split(',').map(item => item.trim())
  for (const address of addresses) {
    if (parseAddress(address) !== undefined) continue
    exitWith(new PepperwoodError({ name: 'settingsInvalid', message: 'expected an IP address and port', place: '--at', value: address }), exitCodes.usage)
  }
  return addresses
}

/** Ends the process with a usage error if the text is not a positive number. */
export function parsePositiveNumber (text: string, place: string): number {
  const parsedValue = Number(text)
  if (Number.isFinite(parsedValue) && parsedValue > 0) return parsedValue
  return exitWith(new PepperwoodError({ name: 'settingsInvalid', message: 'expected a positive number', place, value: text }), exitCodes.usage)
}

/** Calls the addresses in order until one answers, each with a timeout of `CALL_TIMEOUT_MS`; ends the process if none does. */
export async function callFirstReachable<T> (addresses: readonly string[], call: (address: string, timeoutMs: number) => Promise<T>): Promise<T> {
  let lastFailure = ''
  for (const address of addresses) {
    try {
      return await call(address, CALL_TIMEOUT_MS)
    } catch (thrown) {
      lastFailure = `${address}: ${thrown instanceof Error ? thrown.message : String(thrown)}`
    }
  }
  return exitWith(new PepperwoodError({ name: 'upstreamUnreachable', message: lastFailure, place: '--at' }), exitCodes.unreachable)
}

export function writeLine (text: string): void {
  process.stdout.write(`${text}\n`)
}
