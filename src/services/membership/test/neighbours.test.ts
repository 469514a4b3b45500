import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { NeighbourSelector, RING_COUNT } from '../common/neighbours.ts'

const SEED = 20261202
const test = suite('neighbours')

function createAddresses (count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `10.${index % 5}.0.${index}:8000`)
}

function chooseAllNeighbours (addresses: readonly string[]): ReadonlyMap<string, readonly string[]> {
  return new Map(addresses.map(own => [own, new NeighbourSelector(own).choose(addresses.filter(other => other !== own))]))
}

/** Counts the members that can be reached from the first one over links in either direction. */
function countReachable (links: ReadonlyMap<string, readonly string[]>, members: readonly string[]): number {
  const both = new Map(members.map(member => [member, new Set<string>()]))
  for (const [from, neighbours] of links) {
    for (const to of neighbours) {
      if (!both.has(from) || !both.has(to)) continue
      both.get(from)?.add(to)
      both.get(to)?.add(from)
    }
  }
  const reached = new Set(members.slice(0, 1))
  for (const member of reached) for (const next of both.get(member) ?? []) reached.add(next)
  return reached.size
}

test('all members of a small fleet are linked to each other', () => {
  const addresses = createAddresses(2 * RING_COUNT + 1)
  for (const neighbours of chooseAllNeighbours(addresses).values()) assert.is(neighbours.length, addresses.length - 1)
})

test('the number of links per member does not grow with the fleet, and each member is probed by at least two', () => {
  for (const count of [30, 195, 1000]) {
    const links = chooseAllNeighbours(createAddresses(count))
    const probedBy = new Map<string, number>()
    for (const neighbours of links.values()) {
      assert.ok(neighbours.length <= RING_COUNT)
      for (const to of neighbours) probedBy.set(to, (probedBy.get(to) ?? 0) + 1)
    }
    for (const address of links.keys()) assert.ok((probedBy.get(address) ?? 0) >= 2, `${address} is probed by ${probedBy.get(address) ?? 0}`)
  }
})

test('the remaining members stay connected when any hall is lost', () => {
  fc.assert(fc.property(fc.integer({ min: 20, max: 300 }), fc.integer({ min: 0, max: 4 }), (count, hall) => {
    const addresses = createAddresses(count)
    const left = addresses.filter(address => !address.startsWith(`10.${hall}.`))
    assert.is(countReachable(chooseAllNeighbours(addresses), left), left.length)
  }), { seed: SEED, numRuns: 30 })
})

test('the loss of a member changes only the links of its predecessors', () => {
  const addresses = createAddresses(100)
  const [lost = ''] = addresses
  const before = chooseAllNeighbours(addresses)
  const after = chooseAllNeighbours(addresses.slice(1))
  for (const [address, neighbours] of after) {
    if (!before.get(address)?.includes(lost)) assert.equal(neighbours, before.get(address))
  }
})

test.run()
