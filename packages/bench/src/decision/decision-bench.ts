import { AffinityKey } from '@mimosarock/placement/affinity-key.js'
import { DisplacedChats } from '@mimosarock/placement/displaced-chats.js'
import { EndpointAdmission } from '@mimosarock/placement/endpoint-admission.js'
import { HeldContexts } from '@mimosarock/placement/held-contexts.js'
import { RendezvousOrder } from '@mimosarock/placement/rendezvous-order.js'
import { SystemClock } from '@mimosarock/coordination/system-clock.js'
import { BenchCommand } from '../command/bench-command.js'

const POOL_SIZES = [13, 500, 5_100]
/** Number of endpoints requested from the rendezvous order at once. */
const CANDIDATES = 3
const KEYS = 4_096
const ROUNDS = 5
const ROUND_MS = 200
const SAMPLE_ENDPOINTS = 5_000
const SAMPLE_CHATS = 200_000

/**
 * Measures the time of a placement decision and of the steps around it (order construction, affinity key, admission),
 * and the memory per endpoint, per displaced chat and per context that an endpoint presumably has in its cache.
 */
export class DecisionBench extends BenchCommand {
  static override paths = [['decision']]
  static override usage = BenchCommand.Usage({ description: 'Cost of a placement decision in time and memory.' })

  async measure (): Promise<object> {
    const result: Record<string, number> = {}
    for (const size of POOL_SIZES) {
      result[`decision_ns_${size}`] = this._decisionNs(size)
      result[`order_build_us_${size}`] = this._orderBuildUs(size)
    }
    result.affinity_key_ns = this._affinityKeyNs()
    result.admission_ns = await this._admissionNs()
    result.bytes_per_owned_endpoint = bytesPerItem(SAMPLE_ENDPOINTS, () => Array.from({ length: SAMPLE_ENDPOINTS }, (_, index) => createAdmission(`engine-${index}`)))
    result.bytes_per_ordered_endpoint = bytesPerItem(SAMPLE_ENDPOINTS, () => new RendezvousOrder(createEndpoints(SAMPLE_ENDPOINTS)))
    result.bytes_per_displaced_chat = bytesPerItem(SAMPLE_CHATS, () => {
      const chats = new DisplacedChats(SAMPLE_CHATS, 60_000, new SystemClock())
      for (let chat = 0; chat < SAMPLE_CHATS; chat += 1) chats.record(`${AffinityKey.forChat('alpha', String(chat))}chat`, 'engine-7')
      return chats
    })
    result.bytes_per_held_context = bytesPerItem(SAMPLE_CHATS, () => {
      const contexts = new HeldContexts(SAMPLE_CHATS, 60_000, new SystemClock())
      for (let chat = 0; chat < SAMPLE_CHATS; chat += 1) contexts.recordContext(AffinityKey.forChat('alpha', String(chat)), 1_000)
      return contexts
    })
    return { seed: this.seedNumber, ...result }
  }

  private _decisionNs (size: number): number {
    const order = new RendezvousOrder(createEndpoints(size))
    const keys = Array.from({ length: KEYS }, (_, index) => AffinityKey.forChat('alpha', `${this.seedNumber}-${index}`))
    return shortestNs((index) => order.first(keys[index % KEYS] ?? '', CANDIDATES).length)
  }

  private _orderBuildUs (size: number): number {
    const endpoints = createEndpoints(size)
    return shortestNs(() => new RendezvousOrder(endpoints).size) / 1_000
  }

  private _affinityKeyNs (): number {
    return shortestNs((index) => AffinityKey.forChat('alpha', `chat-${index}`).length)
  }

  private async _admissionNs (): Promise<number> {
    const admission = createAdmission('engine-0')
    const request = { workspace: 'alpha', priority: 0, weight: 1, load: 1, hasContext: true, remainingMs: 10_000 }
    const count = 100_000
    const startedAt = process.hrtime.bigint()
    for (let index = 0; index < count; index += 1) (await admission.admit(request, 0)).release()
    return Math.round(Number(process.hrtime.bigint() - startedAt) / count)
  }
}

function createEndpoints (count: number): Array<{ name: string, capacity: number }> {
  return Array.from({ length: count }, (_, index) => ({ name: `engine-${index}`, capacity: 8 + index % 3 * 8 }))
}

function createAdmission (endpoint: string): EndpointAdmission {
  return new EndpointAdmission({ endpoint, capacity: 16, limit: () => 16, maximumQueued: 64, clock: new SystemClock() })
}

/**
 * Measures the mean time of a call in the fastest of several rounds.
 * @param run function to measure; its results are summed up so that the compiler cannot remove the calls
 * @returns time in nanoseconds
 */
function shortestNs (run: (index: number) => number): number {
  let shortest = Infinity
  let checksum = 0
  for (let round = 0; round < ROUNDS; round += 1) {
    const startedAt = performance.now()
    let index = 0
    for (; performance.now() - startedAt < ROUND_MS; index += 1) checksum += run(index)
    shortest = Math.min(shortest, (performance.now() - startedAt) * 1e6 / index)
  }
  return checksum < 0 ? 0 : Math.round(shortest)
}

/**
 * Measures the memory per item, on the heap and in array buffers. Garbage is only collected before each reading if
 * Node.js runs with `--expose-gc`.
 * @param count number of items
 * @param create creates all items
 * @returns size in bytes
 */
function bytesPerItem (count: number, create: () => unknown): number {
  const used = (): number => {
    globalThis.gc?.()
    const memory = process.memoryUsage()
    return memory.heapUsed + memory.arrayBuffers
  }
  const before = used()
  const items = create()
  const bytes = used() - before
  return items === undefined ? 0 : Math.round(bytes / count)
}
