/**
 * An IP address and a port. Host names are not resolved anywhere in the system.
 */
export interface Address {
  readonly host: string
  readonly port: number
}

const ADDRESS_PATTERN = /^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$/
const MAX_OCTET = 255
const MAX_PORT = 65535

/** Parses `10.0.0.7:8000` or `[::1]:8000`; returns undefined for anything else. */
export function parseAddress (text: string): Address | undefined {
  const match = ADDRESS_PATTERN.exec(text)
  if (match === null) return undefined
  const host = match[1] ?? ''
  const port = Number(match[2])
  if (port > MAX_PORT) return undefined
  if (!host.startsWith('[') && host.split('.').some(octet => Number(octet) > MAX_OCTET)) return undefined
  return { host: host.replace(/[[\]]/g, ''), port }
}
