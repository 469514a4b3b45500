import { create } from '@bufbuild/protobuf'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { ConfigurationSchema, UpstreamKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { Upstream } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { AcceptedConfiguration, IConfigurationService } from '../../configuration/common/configurationService.ts'
import { FactStore } from '../../facts/common/factStore.ts'
import { DecisionLog } from '../../inspect/common/decisionLog.ts'
import { LogService } from '../../log/node/logger.ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import { UpstreamAdapter } from '../../upstream/common/upstreamAdapter.ts'
import type { UpstreamOrder, UpstreamOutcome, UpstreamReport } from '../../upstream/common/upstreamAdapter.ts'
import { recordReport } from '../../upstream/node/upstreamWatcher.ts'
import { OrderService } from '../node/orderService.ts'

const test = suite('orderService')

/** State of a fake engine, which loads models immediately unless `loads` is false. */
class Engine {
  models: readonly string[] = []
  fencing = 0
  reports = 0
  readonly acceptedOrders: UpstreamOrder[] = []
  loads = true
}

class Engines extends UpstreamAdapter {
  readonly engines = new Map<string, Engine>()

  get (name: string): Engine {
    const engine = this.engines.get(name) ?? new Engine()
    this.engines.set(name, engine)
    return engine
  }

  async call (): Promise<UpstreamOutcome> {
    throw new Error('not used')
  }

  async cancel (): Promise<void> {}

  async readReport (upstream: Upstream): Promise<Either<PepperwoodError, UpstreamReport>> {
    const engine = this.get(upstream.name)
    return Right({ boot: 1, report: ++engine.reports, running: 0, queued: 0, capacity: 1, isLeaving: false, models: engine.models, fencing: engine.fencing, prefixes: [] })
  }

  async sendOrder (upstream: Upstream, order: UpstreamOrder): Promise<Either<PepperwoodError, void>> {
    const engine = this.get(upstream.name)
    if (upstream.checksFencing && order.fencing <= engine.fencing) return Left(new PepperwoodError({ name: 'upstreamRefused', message: 'old' }))
    engine.acceptedOrders.push(order)
    engine.fencing = order.fencing
    if (engine.loads) engine.models = order.models
    return Right(undefined)
  }
}

function createConfiguration (version: number, model: string, checksFencing: boolean, loads = 1): AcceptedConfiguration {
  const upstreams = ['a', 'b', 'c'].map(name => ({ name, kind: UpstreamKind.ENGINE, role: 'generate', hall: 'h', checksFencing }))
  const configuration = create(ConfigurationSchema, { epoch: 1, version, upstreams, placements: [{ role: 'generate', model, replicas: 3 }], concurrentLoadsPerHall: loads })
  return { configuration, number: { epoch: 1, version }, text: '', revision: version, source: 'test', acceptedAt: 0 }
}

class Steward {
  readonly facts: FactStore
  readonly service: OrderService
  hasMajority = true

  constructor (private readonly _engines: Engines, public current: AcceptedConfiguration) {
    const clock = new VirtualClock()
    this.facts = new FactStore(clock)
    const findCurrent = () => this.current
    this.service = new OrderService({
      adapter: _engines,
      clock,
      facts: this.facts,
      configuration: { get current () { return findCurrent() } } as IConfigurationService,
      decisions: new DecisionLog(clock, 10),
      log: new LogService({ program: 'test', silent: true }),
      listManagedUpstreams: () => this.current.configuration.upstreams,
      hasMajority: () => this.hasMajority
    })
  }

  /** Reads the reports of all engines and reconciles, for a number of rounds. */
  async runRounds (rounds = 4): Promise<void> {
    for (let round = 0; round < rounds; round++) {
      for (const upstream of this.current.configuration.upstreams) {
        const report = (await this._engines.readReport(upstream)).unsafeCoerce()
        recordReport(this.facts, upstream.name, report, 1e9)
      }
      this.service.reconcile()
      for (let turn = 0; turn < 5; turn++) await new Promise(resolve => { setImmediate(resolve) })
    }
  }
}

test('engines load the planned models, with one order each', async () => {
  const engines = new Engines()
  const steward = new Steward(engines, createConfiguration(1, 'm', true, 3))
  await steward.runRounds()
  for (const name of ['a', 'b', 'c']) assert.equal([engines.get(name).models, engines.get(name).acceptedOrders.length], [['m'], 1])
  steward.service.dispose()
})

test('concurrent loads in a hall do not exceed the limit', async () => {
  const engines = new Engines()
  for (const name of ['a', 'b', 'c']) engines.get(name).loads = false
  const steward = new Steward(engines, createConfiguration(1, 'm', true, 2))
  await steward.runRounds()
  assert.is([...engines.engines.values()].filter(engine => engine.acceptedOrders.length > 0).length, 2)
  steward.service.dispose()
})

for (const checksFencing of [true, false]) {
  test(`a steward with an outdated configuration does not undo a newer one, with fencing ${checksFencing ? 'checked' : 'ignored'}`, async () => {
    const engines = new Engines()
    const old = new Steward(engines, createConfiguration(1, 'old', checksFencing, 3))
    const current = new Steward(engines, createConfiguration(2, 'new', checksFencing, 3))
    await old.runRounds()
    await current.runRounds()
    await old.runRounds()
    for (const name of ['a', 'b', 'c']) assert.equal(engines.get(name).models, ['new'])
    old.service.dispose()
    current.service.dispose()
  })
}

test('two stewards that both manage the engines order the same models', async () => {
  const engines = new Engines()
  const both = [1, 2].map(() => new Steward(engines, createConfiguration(1, 'm', false, 3)))
  await Promise.all(both.map(steward => steward.runRounds()))
  for (const name of ['a', 'b', 'c']) assert.equal(engines.get(name).models, ['m'])
  for (const steward of both) steward.service.dispose()
})

test('engines that do not check fencing get no order from a steward without a majority', async () => {
  const engines = new Engines()
  const steward = new Steward(engines, createConfiguration(1, 'm', false, 3))
  steward.hasMajority = false
  await steward.runRounds()
  assert.is(engines.get('a').acceptedOrders.length, 0)
  steward.hasMajority = true
  await steward.runRounds()
  assert.is(engines.get('a').acceptedOrders.length, 1)
  steward.service.dispose()
})

test.run()
