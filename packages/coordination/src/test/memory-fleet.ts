import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { LedgerPartitions } from '../ledger/ledger-partitions.js'
import { LedgerWriters } from '../ledger/ledger-writers.js'
import type { Membership } from '../membership.js'
import type { PeerMessenger } from '../peer-messenger.js'
import type { RouterIdentity } from '../router-identity.js'
import { SilentEventLog } from '../silent-event-log.js'
import { JumpingClock } from './jumping-clock.js'
import { MemoryLogService } from './memory-log-service.js'

type Handler = (params: unknown) => unknown

/** Ledgers of several routers that share a log service and call each other, all in memory. */
export class MemoryFleet {
  readonly logService = new MemoryLogService()
  /** Ids of routers that cannot be called. */
  readonly unreachable = new Set<string>()
  readonly clocks = new Map<string, JumpingClock>()
  readonly ledgers = new Map<string, LedgerPartitions>()
  /** Ids of the live routers in each router's view; all routers if not set. */
  readonly views = new Map<string, readonly string[]>()
  peerCalls = 0
  private readonly _handlers = new Map<string, Map<string, Handler>>()
  private readonly _ended = new AbortController()
  private readonly _ids: readonly string[]

  constructor (routers: number, settings: { readonly intentTimeoutMs: number, readonly groupIntervalMs: number, readonly longestPauseMs: number, readonly views?: ReadonlyArray<readonly number[]> }) {
    this._ids = Array.from({ length: routers }, (_, index) => `router-${index}`)
    settings.views?.forEach((view, index) => this.views.set(`router-${index}`, view.map((other) => `router-${other}`)))
    for (const id of this._ids) this._start(id, settings)
  }

  partitions (index: number): LedgerPartitions {
    return this.ledgers.get(`router-${index}`) as LedgerPartitions
  }

  clock (index: number): JumpingClock {
    return this.clocks.get(`router-${index}`) as JumpingClock
  }

  stop (): void {
    this._ended.abort()
  }

  private _start (id: string, settings: { readonly intentTimeoutMs: number, readonly groupIntervalMs: number, readonly longestPauseMs: number }): void {
    const clock = new JumpingClock()
    const partitions = new LedgerPartitions(1, {
      ...settings,
      logService: this.logService,
      messenger: this._messenger(id),
      writers: new LedgerWriters(this.membership(id)),
      clock,
      eventLog: new SilentEventLog(),
      routerId: id,
      keyWindowMs: 86_400_000
    })
    this.clocks.set(id, clock)
    this.ledgers.set(id, partitions)
    partitions.run(this._ended.signal).catch(() => {})
  }

  private _messenger (id: string): PeerMessenger {
    const handlers = new Map<string, Handler>()
    this._handlers.set(id, handlers)
    return {
      handle: (method, handler) => { handlers.set(method, handler) },
      call: async (peerAddress, method, params) => {
        this.peerCalls += 1
        const handler = this._handlers.get(peerAddress)?.get(method)
        if (handler === undefined || this.unreachable.has(peerAddress)) {
          throw new MimosarockError(ResultCode.PEER_UNREACHABLE, peerAddress, { run: RunState.NOT_RUN })
        }
        return await handler(params)
      }
    }
  }

  membership (id: string): Membership {
    const identity = (name: string): RouterIdentity => ({ id: name, availabilityZone: 'a', peerAddress: name, forwardAddress: name, leaving: false })
    return {
      self: identity(id),
      live: () => (this.views.get(id) ?? this._ids).map(identity),
      onChange: () => () => {}
    }
  }
}
