import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { PlanSearch } from '../common/planSearch.ts'

const PLANS = ['x', 'y', 'z']
const test = suite('planSearch')

test('the only plan may not decline', () => {
  assert.equal(new PlanSearch().choose([''], false), { hall: '', isOffer: false })
})

test('plans are asked in order, and a job that all decline goes to the one that would finish it first', () => {
  const search = new PlanSearch()
  for (const [hall, endInMs] of [['x', 900], ['y', 700], ['z', 800]] as const) {
    assert.equal(search.choose(PLANS, false), { hall, isOffer: true })
    search.recordDecline(endInMs)
  }
  assert.equal(search.choose(PLANS, false), { hall: 'y', isOffer: false })
})

test('at most three halls are asked, however many there are', () => {
  const search = new PlanSearch()
  const halls = ['x', 'y', 'z', 'v', 'w']
  const asked = [900, 700, 800].map(endInMs => {
    const { hall } = search.choose(halls, false)
    search.recordDecline(endInMs)
    return hall
  })
  assert.equal(asked, ['x', 'y', 'z'])
  assert.equal(search.choose(halls, false), { hall: 'y', isOffer: false })
})

test('a job stays in the hall that has computed results for it, unless that hall has no plan any more', () => {
  const search = new PlanSearch()
  search.choose(PLANS, false)
  assert.equal(search.choose(PLANS, true), { hall: 'x', isOffer: false })
  assert.equal(search.choose(['y', 'z'], true), { hall: 'y', isOffer: true })
})

test('a job that its plan refused is offered to the other plans once more, and the next refusal is final', () => {
  const search = new PlanSearch()
  search.choose(PLANS, false)
  search.recordDecline(900)
  search.choose(PLANS, false)
  assert.ok(search.recordRefusal(PLANS))
  assert.equal(search.choose(PLANS, false), { hall: 'x', isOffer: true })
  search.recordDecline(500)
  assert.equal(search.choose(PLANS, false), { hall: 'z', isOffer: true })
  search.recordDecline(700)
  assert.equal(search.choose(PLANS, false), { hall: 'x', isOffer: false })
  assert.not(search.recordRefusal(PLANS))
})

test('with a single plan a refusal is final at once', () => {
  const search = new PlanSearch()
  search.choose([''], false)
  assert.not(search.recordRefusal(['']))
})

test.run()
