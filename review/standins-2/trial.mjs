/**
 * What all scripts of this review share: a temporary folder, loopback addresses of its own, the record, and the exit code.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

export const BROKEN = 1
export const HELD = 0
export const COULD_NOT_RUN = 2

export function wait (ms) {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}

export class Trial {
  constructor (caseFolder) {
    this.hasTrouble = process.env.TROUBLE !== '0'
    this.folder = mkdtempSync(join(tmpdir(), 'pepperwood-review-'))
    this.startedAt = Date.now()
    this._lines = []
    this._recordFile = new URL('record.txt', caseFolder).pathname
  }

  /** Writes a line to the record, with the time since the start in seconds. */
  log (text, at = Date.now()) {
    this._lines.push({ at, line: `${((at - this.startedAt) / 1000).toFixed(3).padStart(8)} ${text}` })
  }

  /** A part of the loopback range in which nothing listens on the ports that nodes use. */
  async findPrefix (hostCount, ports = [8620, 8621, 8625, 8628, 7740, 7741, 9464]) {
    for (let count = 0; count < 20; count++) {
      const prefix = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`
      const free = await Promise.all(Array.from({ length: hostCount }, (_, index) => Promise.all(ports.map(port => checkFree(`${prefix}.${10 + index}`, port)))))
      if (free.flat().every(Boolean)) return prefix
    }
    throw new Error('no free addresses')
  }

  finish (code, summary) {
    for (const line of summary) this.log(line, Infinity)
    const text = this._lines.sort((a, b) => a.at - b.at).map(({ at, line }) => at === Infinity ? line.replace(/^\s*\S+ /, '') : line).join('\n')
    writeFileSync(this._recordFile, `${text}\n`)
    for (const line of summary) console.log(line)
    if (process.env.KEEP !== '1') rmSync(this.folder, { recursive: true, force: true })
    else console.log(this.folder)
    process.exit(code)
  }
}

function checkFree (host, port) {
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}
