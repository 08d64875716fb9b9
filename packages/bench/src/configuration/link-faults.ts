import type { LogService } from '@mimosarock/coordination/log-service.js'
import type { PeerMessenger } from '@mimosarock/coordination/peer-messenger.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { SeededRandom } from '@mimosarock/stand-ins/seeded-random.js'

/** Faults of the links from single routers to the log service and of all links between routers. */
export class LinkFaults {
  /** Routers that do not reach the log service. */
  readonly cutFromLog = new Set<string>()
  /** Share of the calls between routers that are lost. */
  lostShare = 0
  /** Longest delay of a call between routers, in milliseconds. */
  delayMs = 0
  /** Calls that were lost so far. */
  lostCalls = 0
  private readonly _random: SeededRandom

  /**
   * @param random decides which calls are lost and how late the others are
   */
  constructor (random: SeededRandom) {
    this._random = random
  }

  /**
   * The log service as one router reaches it.
   * @param routerId the router
   * @param inner the log service
   */
  logService (routerId: string, inner: LogService): LogService {
    const check = (): void => {
      if (!this.cutFromLog.has(routerId)) return
      throw new MimosarockError(ResultCode.LOG_UNAVAILABLE, 'the link to the log service is cut', { run: RunState.UNKNOWN })
    }
    return {
      append: async (...words) => {
        check()
        return await inner.append(...words)
      },
      read: async (...words) => {
        check()
        const result = await inner.read(...words)
        check()
        return result
      }
    }
  }

  /**
   * The connections to peers with the faults before them.
   * @param inner the connections
   */
  messenger (inner: PeerMessenger): PeerMessenger {
    return {
      handle: (method, handler) => inner.handle(method, handler),
      call: async (address, method, params, timeoutMs) => {
        const isLost = this._random.next() < this.lostShare
        const delayMs = isLost ? timeoutMs : this._random.next() * this.delayMs
        if (delayMs > 0) await new Promise((resolve) => setTimeout(resolve, delayMs))
        if (!isLost) return await inner.call(address, method, params, timeoutMs)
        this.lostCalls += 1
        throw new MimosarockError(ResultCode.PEER_TIMEOUT, 'the call was lost')
      }
    }
  }
}
