/**
 * Upstreams behind a relay that crash on certain requests, each of which is replaced by a new instance.
 */
import type { Socket } from 'node:net'
import { Disposable } from '../../../base/common/disposable.ts'
import { FakeUpstream, RelayHarness } from './fakes.ts'
import type { RelayHarnessOptions } from './fakes.ts'

export interface CrashingFleetOptions {
  readonly route: RelayHarnessOptions['route']
  /** Handles a request whose head an upstream has read; `crash` ends the upstream. */
  readonly answer: (request: FleetRequest, crash: () => void) => void
}

export interface FleetRequest {
  readonly id: string
  /** Head and body of the request. */
  readonly text: string
  readonly socket: Socket
}

export const UPSTREAM_COUNT = 6
/** Delay until a crashed upstream is removed from the list. */
const LIST_DELAY_MS = 150

export class CrashingFleet extends Disposable {
  readonly crashes: string[] = []
  readonly harness: RelayHarness

  constructor (private readonly _options: CrashingFleetOptions) {
    super()
    this.harness = this._register(new RelayHarness({ upstreams: [], route: _options.route }))
  }

  async start (): Promise<void> {
    await this.harness.start()
    for (let index = 0; index < UPSTREAM_COUNT; index++) await this._addUpstream()
  }

  private async _addUpstream (): Promise<void> {
    const upstream: FakeUpstream = new FakeUpstream((socket, text) => {
      const id = /^Id: (.+)\r$/m.exec(text)?.[1] ?? ''
      this._options.answer({ id, text, socket }, () => this._endUpstream(upstream, upstreamId))
    })
    const upstreamId = await this.harness.addUpstream(upstream)
  }

  private _endUpstream (upstream: FakeUpstream, upstreamId: string): void {
    if (this.crashes.includes(upstreamId)) return
    this.crashes.push(upstreamId)
    upstream.stop()
    void this._addUpstream()
    setTimeout(() => this.harness.registry.remove(upstreamId, 'test'), LIST_DELAY_MS)
  }
}

export async function runFleet (options: CrashingFleetOptions, run: (fleet: CrashingFleet) => Promise<void>): Promise<void> {
  const fleet = new CrashingFleet(options)
  try {
    await fleet.start()
    await run(fleet)
  } finally {
    fleet.dispose()
  }
}
