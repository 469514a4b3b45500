/**
 * Adapts the process's clock to effects, so that tests control their sleeps and timeouts with a virtual clock.
 */
import { Clock, Duration, Effect } from 'effect'
import type { IClock } from '../common/clock.ts'

const NANOS_PER_MS = 1_000_000

export function createEffectClock (clock: IClock): Clock.Clock {
  const readNanos = () => BigInt(Math.round(clock.now() * NANOS_PER_MS))
  return {
    [Clock.ClockTypeId]: Clock.ClockTypeId,
    unsafeCurrentTimeMillis: () => clock.now(),
    currentTimeMillis: Effect.sync(() => clock.now()),
    unsafeCurrentTimeNanos: readNanos,
    currentTimeNanos: Effect.sync(readNanos),
    sleep: duration => Effect.async<void>(resume => {
      const timer = clock.schedule(Duration.toMillis(duration), () => resume(Effect.void))
      return Effect.sync(() => timer.dispose())
    })
  }
}
