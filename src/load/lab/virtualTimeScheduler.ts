/**
 * Schedules callbacks in virtual time and runs them in the order of their time.
 */

interface ScheduledEvent {
  readonly at: number
  readonly run: () => void
}

export class VirtualTimeScheduler {
  private readonly _heap: ScheduledEvent[] = []
  private _now = 0

  get now (): number {
    return this._now
  }

  schedule (at: number, run: () => void): void {
    const heap = this._heap
    const event = { at: Math.max(at, this._now), run }
    let index = heap.push(event) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      const parentEvent = heap[parent]
      if (parentEvent === undefined || parentEvent.at <= event.at) break
      heap[index] = parentEvent
      index = parent
    }
    heap[index] = event
  }

  /** Runs all events up to the time given, including those that other events schedule. */
  advance (untilMs: number): void {
    for (let event = this._dequeue(); event !== undefined && event.at <= untilMs; event = this._dequeue()) {
      this._now = event.at
      event.run()
    }
  }

  private _dequeue (): ScheduledEvent | undefined {
    const heap = this._heap
    const first = heap[0]
    const last = heap.pop()
    if (first === undefined || last === undefined || heap.length === 0) return first
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= heap.length) break
      if ((heap[child + 1]?.at ?? Infinity) < (heap[child]?.at ?? Infinity)) child++
      const childEvent = heap[child]
      if (childEvent === undefined || childEvent.at >= last.at) break
      heap[index] = childEvent
      index = child
    }
    heap[index] = last
    return first
  }
}
