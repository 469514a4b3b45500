/**
 * Runs a whole fleet within this process over loopback sockets, for the demo and for tests.
 */
import { DisposableStore } from '../base/common/disposable.ts'
import type { IDisposable } from '../base/common/disposable.ts'
import { waitFor } from '../base/node/interval.ts'
import { SystemClock } from '../base/node/systemClock.ts'
import { Gate } from '../gate/gate.ts'
import { LogService } from '../services/log/node/logger.ts'
import { createRandom } from '../services/program/node/program.ts'
import { Standin } from '../standin/standin.ts'
import { Steward } from '../steward/steward.ts'
import type { FleetPlan } from './fleetPlan.ts'
import { StandinControl } from './standinControl.ts'

export class InProcessFleet implements IDisposable {
  private readonly _store = new DisposableStore()
  readonly control: StandinControl
  readonly gates: Gate[] = []
  readonly stewards: Steward[] = []

  constructor (private readonly _plan: FleetPlan, private readonly _isSilent = true) {
    this.control = new StandinControl(_plan.standins.map(standin => standin.listen))
  }

  /** Resolves when every gate is ready and has received the state of all other gates. */
  async start (): Promise<void> {
    for (const settings of this._plan.standins) await this._store.add(new Standin({ settings, log: this._createLog('standin') })).start()
    await this.control.publish('pepperwood/configuration', JSON.parse(this._plan.configurationText))
    const context = { clock: new SystemClock(), random: createRandom(), incarnation: Date.now() }
    for (const host of this._plan.hosts) {
      this.stewards.push(this._store.add(new Steward({ ...context, settings: host.steward, log: this._createLog('steward') })))
      // Sends each token as a chunk of its own, so that tests can request chunks by number.
      const settings = { ...host.gate, chunk_interval_ms: 0 }
      this.gates.push(this._store.add(new Gate({ ...context, settings, log: this._createLog('gate') })))
    }
    await Promise.all([...this.stewards, ...this.gates].map(program => program.start()))
    while (!this.gates.every(gate => gate.isReady)) await waitFor(20)
    // Gates learn of each other through their stewards, which can take longer than becoming ready.
    while (!this.gates.every(gate => gate.countUsableGates() === this.gates.length)) await waitFor(20)
  }

  dispose (): void {
    this._store.dispose()
  }

  private _createLog (program: string): LogService {
    return new LogService({ program, silent: this._isSilent })
  }
}
