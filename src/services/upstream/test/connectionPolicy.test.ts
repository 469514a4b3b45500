import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '../../../base/common/random.ts'
import { DirectConnectionPolicy, PartitionDetector } from '../common/connectionPolicy.ts'
import { TunnelPeers } from '../common/tunnelPeers.ts'

const test = suite('connectionPolicy')

/** Returns a policy that has found a partition at 100. */
function createPartitioned (): PartitionDetector {
  const policy = new PartitionDetector()
  policy.recordDirect('a', false, 0)
  policy.recordDirect('b', false, 50)
  policy.recordPeerResult('b', 'opened', 100)
  return policy
}

test('a node is partitioned if a peer reaches an upstream that it fails to reach', () => {
  const policy = createPartitioned()
  assert.is(policy.getMode(100), 'peers')
  assert.is(policy.partitionedSince, 0)
  assert.is(new DirectConnectionPolicy().getMode(), 'direct')
})

test('the results of both ways may arrive in any order', () => {
  const policy = new PartitionDetector()
  policy.recordDirect('a', false, 0)
  policy.recordPeerResult('b', 'opened', 20)
  policy.recordDirect('b', false, 400)
  assert.is(policy.getMode(400), 'peers')
})

test('one upstream that fails for this node alone is no partition', () => {
  const policy = new PartitionDetector()
  policy.recordDirect('a', false, 0)
  policy.recordPeerResult('a', 'opened', 10)
  assert.is(policy.getMode(10), 'direct')
})

test('upstreams that peers do not reach either are no partition, and peers are not asked again at once', () => {
  const policy = new PartitionDetector()
  for (const upstream of ['a', 'b', 'c']) policy.recordDirect(upstream, false, 0)
  assert.is(policy.getMode(1), 'fallback')
  policy.recordPeerResult('a', 'unreachable', 10)
  assert.is(policy.getMode(20), 'direct')
  assert.is(policy.getMode(600), 'fallback')
})

test('a success in between, or time, refutes earlier failures', () => {
  const policy = new PartitionDetector()
  policy.recordDirect('a', false, 0)
  policy.recordDirect('c', true, 10)
  policy.recordDirect('b', false, 20)
  assert.is(policy.getMode(30), 'direct')
  policy.recordDirect('a', false, 5000)
  assert.is(policy.getMode(5000), 'direct')
})

test('a partition ends with the first direct success, and peers remain a fallback for a while', () => {
  const policy = createPartitioned()
  policy.recordDirect('c', false, 300)
  assert.is(policy.getMode(10_000), 'peers')
  policy.recordDirect('c', true, 10_000)
  assert.is(policy.getMode(10_001), 'fallback')
  assert.is(policy.getMode(15_001), 'direct')
})

test('a partitioned node tries its own way at a limited rate', () => {
  const policy = createPartitioned()
  assert.not(policy.tryAcquireTrial(200))
  assert.ok(policy.tryAcquireTrial(450))
  assert.not(policy.tryAcquireTrial(500))
})

const PEERS = Array.from({ length: 8 }, (_item, index) => ({ address: `10.0.0.${index}:1`, hall: index < 3 ? 'near' : 'far' }))

test('peers in preferred halls come first, those that failed come last, and all are used', () => {
  const peers = new TunnelPeers({ random: new SeededRandom(1), listPeers: () => PEERS })
  assert.ok(peers.choose(['near'], 0).slice(0, 3).every(({ hall }) => hall === 'near'))
  assert.is(new Set(Array.from({ length: 100 }, () => peers.choose([], 0)[0]?.address)).size, PEERS.length)
  for (const peer of PEERS.slice(1)) peers.record(peer, false, 0)
  assert.is(peers.choose(['far'], 10)[0]?.address, PEERS[0]?.address)
  assert.is(peers.choose(['far'], 3000)[0]?.hall, 'far')
})

test.run()
