import type { LogService } from '@mimosarock/coordination/log-service.js'
import type { PeerMessenger } from '@mimosarock/coordination/peer-messenger.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { SeededRandom } from '@mimosarock/stand-ins/seeded-random.js'

/** Injects faults into the links from chosen routers to the log service and into all links between routers. */
export class LinkFaults {
  /** Ids of the routers that cannot reach the log service. */
  readonly partitionedFromLog = new Set<string>()
  /** Share of calls between routers that are lost, from 0 to 1. */
  lossRate = 0
  /** Upper bound of the random delay of a call between routers, in milliseconds. */
  maximumDelayMs = 0
  /** Number of calls lost. */
  lostCalls = 0
  private readonly _random: SeededRandom

  /**
   * @param random source of losses and delays
   */
  constructor (random: SeededRandom) {
    this._random = random
  }

  /**
   * Wraps the log service of a router. Its calls fail while the router is partitioned from the log service.
   * @param routerId id of the router
   * @param inner log service to wrap
   */
  wrapLogService (routerId: string, inner: LogService): LogService {
    const check = (): void => {
      if (!this.partitionedFromLog.has(routerId)) return
      throw new MimosarockError(ResultCode.LOG_UNAVAILABLE, 'the link to the log service is down', { run: RunState.UNKNOWN })
    }
    return {
      append: async (...parameters) => {
        check()
        return await inner.append(...parameters)
      },
      read: async (...parameters) => {
        check()
        const result = await inner.read(...parameters)
        check()
        return result
      }
    }
  }

  /**
   * Wraps the messenger of a router, so that outgoing calls are delayed or lost. A lost call fails after its timeout.
   * @param inner messenger to wrap
   */
  wrapMessenger (inner: PeerMessenger): PeerMessenger {
    return {
      handle: (method, handler) => inner.handle(method, handler),
      call: async (address, method, params, timeoutMs) => {
        const isLost = this._random.next() < this.lossRate
        const delayMs = isLost ? timeoutMs : this._random.next() * this.maximumDelayMs
        if (delayMs > 0) await new Promise((resolve) => setTimeout(resolve, delayMs))
        if (!isLost) return await inner.call(address, method, params, timeoutMs)
        this.lostCalls += 1
        throw new MimosarockError(ResultCode.PEER_TIMEOUT, 'the call was lost')
      }
    }
  }
}
