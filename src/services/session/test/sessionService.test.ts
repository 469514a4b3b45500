import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { SessionService } from '../common/sessionService.ts'
import type { SessionServiceOptions } from '../common/sessionService.ts'

const test = suite('sessionService')

function createService (options: Partial<SessionServiceOptions> = {}) {
  const clock = new VirtualClock()
  let lastSessionNumber = 0
  return { clock, service: new SessionService({ clock, createId: () => `s${++lastSessionNumber}`, lifetimeMs: 1000, ...options }) }
}

function submit (service: SessionService, sessionId: string, number: number, contentDigest = 'd') {
  return service.submit({ sessionId, number, contentDigest, isUnrepeatable: true })
}

function readError (result: ReturnType<typeof submit>): string {
  return result.swap().map(error => error.resultName).orDefault('internal')
}

test('a repeated number attaches to the run in progress and to the retained answer', () => {
  const { service } = createService()
  const session = service.open('c').unsafeCoerce()
  const first = submit(service, session.id, 1).unsafeCoerce()
  const second = submit(service, session.id, 1).unsafeCoerce()
  assert.is(first.kind, 'run')
  assert.is(second.kind, 'attach')
  assert.is(second.run, first.run)
  first.run.addChunk('x')
  first.run.finish({ kind: 'whole', digest: '', costs: [] })
  service.retain(first.run)
  assert.is(submit(service, session.id, 1).unsafeCoerce().run, first.run)
  assert.is(service.runningCount, 0)
})

test('a repeated number with different content is refused', () => {
  const { service } = createService()
  const session = service.open('c').unsafeCoerce()
  submit(service, session.id, 1)
  assert.is(readError(submit(service, session.id, 1, 'other')), 'numberReused')
})

test('a number whose answer was evicted never runs again', () => {
  const { service } = createService({ maxRetainedSize: 10 })
  const session = service.open('c').unsafeCoerce()
  for (const number of [1, 2]) {
    const { run } = submit(service, session.id, number).unsafeCoerce()
    run.addChunk('12345678')
    run.finish({ kind: 'whole', digest: '', costs: [] })
    service.retain(run)
  }
  assert.is(readError(submit(service, session.id, 1)), 'outcomeForgotten')
  assert.is(submit(service, session.id, 2).unsafeCoerce().kind, 'attach')
})

test('an expired session is unknown and is not removed while one of its requests runs', () => {
  const { service, clock } = createService()
  const session = service.open('c').unsafeCoerce()
  const { run } = submit(service, session.id, 1).unsafeCoerce()
  clock.advance(1000)
  assert.is(readError(submit(service, session.id, 2)), 'sessionUnknown')
  service.open('c')
  assert.is(service.sessions.length, 2)
  run.finish({ kind: 'whole', digest: '', costs: [] })
  service.retain(run)
  service.open('c')
  assert.is(service.sessions.length, 2)
  assert.not(service.sessions.includes(session))
})

test('the number of sessions is limited in total and per customer', () => {
  const { service } = createService({ maxSessions: 3, maxSessionsPerCustomer: 2 })
  assert.ok(service.open('a').isRight())
  assert.ok(service.open('a').isRight())
  assert.ok(service.open('a').isLeft())
  assert.ok(service.open('b').isRight())
  assert.ok(service.open('b').isLeft())
})

for (const number of [0, -1, 1.5, 2 ** 32]) {
  test(`the request number ${number} is refused`, () => {
    const { service } = createService()
    const session = service.open('c').unsafeCoerce()
    assert.is(readError(submit(service, session.id, number)), 'requestInvalid')
  })
}

test.run()
