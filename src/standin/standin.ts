/**
 * The stand-in process: the platform's configuration service, upstreams, and an HTTP control server that injects faults
 * and reports counts.
 */
import { readFileSync } from 'node:fs'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { parseAddress } from '../base/common/address.ts'
import { Disposable, toDisposable } from '../base/common/disposable.ts'
import { Emitter } from '../base/common/event.ts'
import { SeededRandom } from '../base/common/random.ts'
import { parseRequestTarget } from '../base/common/requestTarget.ts'
import type { ILogService } from '../services/log/node/logger.ts'
import { checkSettings } from '../services/settings/node/settingsFile.ts'
import { FaultsSchema } from './faults.ts'
import { readJson, sendJson } from './httpJson.ts'
import { RunLedger } from './runLedger.ts'
import { StandinPlatform } from './standinPlatform.ts'
import type { PlatformFaults } from './standinPlatform.ts'
import type { StandinSettings } from './standinSettings.ts'
import { StandinUpstreamServer } from './standinUpstream.ts'

export interface StandinOptions {
  readonly settings: StandinSettings
  readonly log: ILogService
}

export class Standin extends Disposable {
  private readonly _options: StandinOptions
  private readonly _platform = new StandinPlatform()
  private readonly _ledger = new RunLedger()
  private readonly _upstreams: readonly StandinUpstreamServer[]
  private readonly _server: Server
  private readonly _onDidStop = this._register(new Emitter<void>())
  readonly onDidStop = this._onDidStop.event

  constructor (options: StandinOptions) {
    super()
    this._options = options
    const random = new SeededRandom(options.settings.seed)
    this._upstreams = options.settings.upstreams.map(settings => this._register(new StandinUpstreamServer(settings, random, this._ledger)))
    this._server = createServer((request, response) => { void this._handle(request, response) })
    this._register(toDisposable(() => {
      this._server.close()
      this._server.closeAllConnections()
    }))
  }

  async start (): Promise<void> {
    const { settings, log } = this._options
    const file = settings.configuration_file
    if (file !== undefined) this._platform.publish('pepperwood/configuration', readFileSync(file, 'utf8'))
    const listen = parseAddress(settings.listen)
    await Promise.all(this._upstreams.map(upstream => upstream.listen()))
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(listen?.port, listen?.host, resolve)
    })
    log.info('listening', { address: settings.listen, upstreams: this._upstreams.length })
  }

  async stop (): Promise<void> {
    this._onDidStop.fire()
    this.dispose()
  }

  private async _handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { path, query } = parseRequestTarget(request.url ?? '/')
    const [, , resource = '', ...rest] = path.split('/')
    const name = rest.join('/')
    if (request.method === 'GET' && resource === 'values') {
      return await this._platform.answer(name, Number(query.get('after') ?? 0), Number(query.get('wait_ms') ?? 0), response)
    }
    if (request.method === 'GET' && resource === 'runs') return sendJson(response, 200, { runs: this._ledger.list() })
    if (request.method === 'GET' && resource === 'state') {
      return sendJson(response, 200, { platformCalls: this._platform.callCount, upstreams: this._upstreams.map(upstream => upstream.describe()) })
    }
    const body = await readJson(request)
    if (request.method === 'PUT' && resource === 'values') {
      return sendJson(response, 200, { revision: this._platform.publish(name, JSON.stringify(body)) })
    }
    if (request.method === 'PUT' && resource === 'faults') return await this._setFaults(name, body, response)
    sendJson(response, 404, { message: 'unknown path or method' })
  }

  private async _setFaults (name: string, body: unknown, response: ServerResponse): Promise<void> {
    if (name === 'platform') {
      this._platform.setFaults({ down: false, stale: false, slow_ms: 0, ...body as Partial<PlatformFaults> })
      return sendJson(response, 200, {})
    }
    const faults = checkSettings('faults', body, FaultsSchema)
    if (faults.isLeft()) return sendJson(response, 400, { message: String(faults.extract()) })
    const hasName = (upstream: string) => name.endsWith('*') ? upstream.startsWith(name.slice(0, -1)) : upstream === name
    const selected = this._upstreams.filter(upstream => hasName(upstream.name))
    await Promise.all(selected.map(upstream => upstream.setFaults(faults.unsafeCoerce())))
    sendJson(response, 200, { upstreams: selected.length })
  }
}
