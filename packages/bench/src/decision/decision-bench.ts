import { AffinityKey } from '@mimosarock/placement/affinity-key.js'
import { DisplacedChats } from '@mimosarock/placement/displaced-chats.js'
import { EndpointAdmission } from '@mimosarock/placement/endpoint-admission.js'
import { HeldContexts } from '@mimosarock/placement/held-contexts.js'
import { RendezvousOrder } from '@mimosarock/placement/rendezvous-order.js'
import { SystemClock } from '@mimosarock/coordination/system-clock.js'
import { BenchCommand } from '../command/bench-command.js'

const POOL_SIZES = [13, 500, 5_100]
/** Endpoints that a walk takes from the order at once. */
const FIRST_ENDPOINTS = 3
const KEYS = 4_096
const ROUNDS = 5
const ROUND_MS = 200
const COUNTED_ENDPOINTS = 5_000
const COUNTED_CHATS = 200_000

/** Measures what one placement decision costs, and what is held for each endpoint and displaced chat. */
export class DecisionBench extends BenchCommand {
  static override paths = [['decision']]
  static override usage = BenchCommand.Usage({ description: 'Cost of a placement decision in time and memory.' })

  /** Runs the bench. */
  async measure (): Promise<object> {
    const result: Record<string, number> = {}
    for (const size of POOL_SIZES) {
      result[`decision_ns_${size}`] = this._decisionNs(size)
      result[`order_build_us_${size}`] = this._buildUs(size)
    }
    result.affinity_key_ns = this._keyNs()
    result.admission_ns = await this._admissionNs()
    result.bytes_per_owned_endpoint = bytesOf(COUNTED_ENDPOINTS, () => Array.from({ length: COUNTED_ENDPOINTS }, (_, index) => newAdmission(`engine-${index}`)))
    result.bytes_per_ordered_endpoint = bytesOf(COUNTED_ENDPOINTS, () => new RendezvousOrder(endpointsOf(COUNTED_ENDPOINTS)))
    result.bytes_per_displaced_chat = bytesOf(COUNTED_CHATS, () => {
      const chats = new DisplacedChats(COUNTED_CHATS, 60_000, new SystemClock())
      for (let chat = 0; chat < COUNTED_CHATS; chat += 1) chats.record(`${AffinityKey.forChat('alpha', String(chat))}chat`, 'engine-7')
      return chats
    })
    result.bytes_per_held_context = bytesOf(COUNTED_CHATS, () => {
      const held = new HeldContexts(COUNTED_CHATS, 60_000, new SystemClock())
      for (let chat = 0; chat < COUNTED_CHATS; chat += 1) held.recordContext(AffinityKey.forChat('alpha', String(chat)), 1_000)
      return held
    })
    return { seed: this.seedNumber, ...result }
  }

  private _decisionNs (size: number): number {
    const order = new RendezvousOrder(endpointsOf(size))
    const keys = Array.from({ length: KEYS }, (_, index) => AffinityKey.forChat('alpha', `${this.seedNumber}-${index}`))
    return bestNs((index) => order.first(keys[index % KEYS] ?? '', FIRST_ENDPOINTS).length)
  }

  private _buildUs (size: number): number {
    const endpoints = endpointsOf(size)
    return bestNs(() => new RendezvousOrder(endpoints).size) / 1_000
  }

  private _keyNs (): number {
    return bestNs((index) => AffinityKey.forChat('alpha', `chat-${index}`).length)
  }

  private async _admissionNs (): Promise<number> {
    const admission = newAdmission('engine-0')
    const request = { workspace: 'alpha', priority: 0, weight: 1, load: 1, hasContext: true, remainingMs: 10_000 }
    const count = 100_000
    const startedAt = process.hrtime.bigint()
    for (let index = 0; index < count; index += 1) (await admission.admit(request, 0)).release()
    return Math.round(Number(process.hrtime.bigint() - startedAt) / count)
  }
}

function endpointsOf (count: number): Array<{ name: string, capacity: number }> {
  return Array.from({ length: count }, (_, index) => ({ name: `engine-${index}`, capacity: 8 + index % 3 * 8 }))
}

function newAdmission (endpoint: string): EndpointAdmission {
  return new EndpointAdmission({ endpoint, capacity: 16, limit: () => 16, maximumQueued: 64, clock: new SystemClock() })
}

/**
 * Nanoseconds of one call in the fastest of some rounds.
 * @param run what is measured
 */
function bestNs (run: (index: number) => number): number {
  let best = Infinity
  let sink = 0
  for (let round = 0; round < ROUNDS; round += 1) {
    const startedAt = performance.now()
    let index = 0
    for (; performance.now() - startedAt < ROUND_MS; index += 1) sink += run(index)
    best = Math.min(best, (performance.now() - startedAt) * 1e6 / index)
  }
  return sink < 0 ? 0 : Math.round(best)
}

/**
 * Bytes of heap and buffers for each of many things.
 * @param count how many things
 * @param make makes all of them
 */
function bytesOf (count: number, make: () => unknown): number {
  const used = (): number => {
    globalThis.gc?.()
    const memory = process.memoryUsage()
    return memory.heapUsed + memory.arrayBuffers
  }
  const before = used()
  const made = make()
  const bytes = used() - before
  return made === undefined ? 0 : Math.round(bytes / count)
}
