import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { findFreePort } from '../../base/test/polling.ts'
import { MemberBench } from '../memberBench.ts'

const test = suite('memberBench')

const HOSTS = 14
/** The number of links if every member were linked to all others. In larger fleets, members link to some of the others only. */
const ALL_LINKS = HOSTS - 1

test('the bench measures each phase, and the number of links is bounded in a fleet that is large enough', async () => {
  const costs = await new MemberBench({ hosts: HOSTS, phaseMs: 1500, port: await findFreePort() }).run()
  assert.equal(costs.map(cost => cost.phase), ['start', 'idle', 'churn'])
  assert.ok(costs.every(cost => cost.hosts === HOSTS && cost.processorPercent > 0 && cost.bytesPerSecond > 0))
  assert.ok(costs.every(cost => cost.links > 0 && cost.links < ALL_LINKS))
})

test.run()
