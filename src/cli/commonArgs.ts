/**
 * What the commands share: arguments, output and exit codes.
 */
import { parseAddress } from '../base/common/address.ts'
import { exitCodes, exitWith } from '../services/program/node/program.ts'
import { PepperwoodError } from '../services/result/common/pepperwoodError.ts'

const CALL_TIMEOUT_MS = 5000

export const gateArgument = {
  type: 'string',
  description: 'Address of a gate or steward; several are separated by commas, and tried in turn',
  valueHint: 'IP:PORT',
  default: '127.0.0.1:8000'
} as const

export const jsonArgument = { type: 'boolean', description: 'Print JSON', default: false } as const

/** Splits and checks addresses; ends the process where one is wrong. */
export function parseAddresses (text: string): readonly string[] {
  const addresses = text.split(',').map(item => item.trim())
  for (const address of addresses) {
    if (parseAddress(address) !== undefined) continue
    exitWith(new PepperwoodError({ name: 'settingsInvalid', message: 'expected an IP number and port', place: '--at', value: address }), exitCodes.usage)
  }
  return addresses
}

export function parseCount (text: string, place: string): number {
  const count = Number(text)
  if (Number.isFinite(count) && count > 0) return count
  return exitWith(new PepperwoodError({ name: 'settingsInvalid', message: 'expected a positive number', place, value: text }), exitCodes.usage)
}

/** Calls the first of the addresses that answers; ends the process when none does. */
export async function callFirst<T> (addresses: readonly string[], call: (address: string, timeoutMs: number) => Promise<T>): Promise<T> {
  let reason = ''
  for (const address of addresses) {
    try {
      return await call(address, CALL_TIMEOUT_MS)
    } catch (thrown) {
      reason = `${address}: ${thrown instanceof Error ? thrown.message : String(thrown)}`
    }
  }
  return exitWith(new PepperwoodError({ name: 'upstreamUnreachable', message: reason, place: '--at' }), exitCodes.unreachable)
}

export function writeLine (text: string): void {
  process.stdout.write(`${text}\n`)
}
