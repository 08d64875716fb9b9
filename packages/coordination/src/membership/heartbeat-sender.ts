import type { Clock } from '../clock.js'
import type { EventLog } from '../event-log.js'
import type { PeerMessenger } from '../peer-messenger.js'
import type { RouterIdentity } from '../router-identity.js'
import type { FleetView } from './fleet-view.js'
import { hash32 } from './hash32.js'
import type { HeartbeatExchange } from './heartbeat-exchange.js'
import type { MemberComparison } from './member-comparison.js'

/** Bounds on the time that a peer has for its answer. */
const MINIMUM_TIMEOUT_MS = 250
const MAXIMUM_TIMEOUT_MS = 1_000
/** Shortest pause between two heartbeats to one peer, however urgent; doubled with each urgent one in a row. */
const MINIMUM_PAUSE_MS = 50
/** A call that took so much longer than its bound shows that this process itself stood still. */
const PAUSE_TOLERANCE_MS = 100
/** Failed tries before a peer is suspected; doubled each time that the peer refutes and still does not answer. */
const TRIES = 2
const MAXIMUM_TRIES = 32
/** Heartbeats in a row with differing digests before the tables are compared. */
const DIFFERING_MEMBERS = 3
const DIFFERING_REVISIONS = 6

/** Sends heartbeats to one peer until its signal aborts. */
export class HeartbeatSender {
  private readonly _peer: RouterIdentity
  private readonly _view: FleetView
  private readonly _exchange: HeartbeatExchange
  private readonly _comparison: MemberComparison
  private readonly _messenger: PeerMessenger
  private readonly _clock: Clock
  private readonly _eventLog: EventLog
  private readonly _heartbeatMs: number
  private readonly _timeoutMs: number
  private _wake = new AbortController()
  private _urgent = false
  private _triesWanted = TRIES
  private _failures = 0
  private _differingMembers = 0
  private _differingRevisions = 0

  /**
   * @param peer who gets the heartbeats
   * @param view the fleet as this router sees it
   * @param exchange writes and reads heartbeats
   * @param comparison repairs tables that stay different
   * @param options messenger, clock, event log and the pause between heartbeats
   */
  constructor (peer: RouterIdentity, view: FleetView, exchange: HeartbeatExchange, comparison: MemberComparison, options: { messenger: PeerMessenger, clock: Clock, eventLog: EventLog, heartbeatMs: number }) {
    this._peer = peer
    this._view = view
    this._exchange = exchange
    this._comparison = comparison
    this._messenger = options.messenger
    this._clock = options.clock
    this._eventLog = options.eventLog
    this._heartbeatMs = options.heartbeatMs
    this._timeoutMs = Math.min(Math.max(options.heartbeatMs / 2, MINIMUM_TIMEOUT_MS), MAXIMUM_TIMEOUT_MS)
  }

  /** Makes the next heartbeat leave at once. */
  hasten (): void {
    this._urgent = true
    this._wake.abort()
  }

  /**
   * Sends heartbeats.
   * @param signal ends the task
   */
  async run (signal: AbortSignal): Promise<void> {
    const phaseMs = hash32(this._view.self.identity.id + this._peer.id) % this._heartbeatMs
    await this._pause(phaseMs, signal)
    let minimumPauseMs = MINIMUM_PAUSE_MS
    while (!signal.aborted) {
      const answered = await this.beat()
      await this._clock.sleep(minimumPauseMs, signal)
      // A peer that did not answer is tried again at once, on a new connection.
      if (!answered && this._failures === 1) continue
      const moreNews = answered && this._exchange.pending.hasRecords(this._peer.id)
      const urgent = moreNews || await this._pause(this._heartbeatMs - minimumPauseMs, signal)
      // While a whole fleet starts, news never ends; it then travels in fewer and fuller heartbeats.
      minimumPauseMs = urgent ? Math.min(minimumPauseMs * 2, this._heartbeatMs / 2) : MINIMUM_PAUSE_MS
    }
  }

  /**
   * Sends one heartbeat and takes the answer.
   * @returns whether the peer answered
   */
  async beat (): Promise<boolean> {
    this._urgent = false
    const message = this._exchange.message(this._peer)
    const incarnation = this._view.table.get(this._peer.id)?.incarnation ?? 0
    const startedAt = this._clock.now()
    try {
      const answer = await this._messenger.call(this._peer.peerAddress, 'heartbeat', message, this._timeoutMs)
      this._failures = 0
      this._triesWanted = TRIES
      await this._takeAnswer(answer)
      return true
    } catch (error) {
      this._exchange.putBack(this._peer, message)
      this._noteFailure(error, incarnation, this._clock.now() - startedAt)
      return false
    }
  }

  private async _takeAnswer (answer: unknown): Promise<void> {
    const outcome = this._exchange.takeAnswer(this._peer, answer)
    this._differingMembers = outcome.sameMembers ? 0 : this._differingMembers + 1
    this._differingRevisions = outcome.sameRevisions ? 0 : this._differingRevisions + 1
    try {
      if (outcome.unknown || this._differingMembers >= DIFFERING_MEMBERS) {
        this._differingMembers = 0
        await this._comparison.compare(this._peer.peerAddress)
      } else if (this._differingRevisions >= DIFFERING_REVISIONS) {
        this._differingRevisions = 0
        await this._comparison.takeRevisions(this._peer.peerAddress, this._peer.id)
      }
    } catch (error) {
      this._eventLog.info('membership-comparison-failed', { peer: this._peer.peerAddress, error: String(error) })
    }
  }

  private _noteFailure (error: unknown, incarnation: number, elapsedMs: number): void {
    const paused = elapsedMs > this._timeoutMs + PAUSE_TOLERANCE_MS
    if (paused) return
    this._failures += 1
    this._eventLog.info('heartbeat-failed', { router: this._peer.id, failures: this._failures, error: String(error) })
    if (this._failures < this._triesWanted) return
    this._failures = 0
    this._triesWanted = Math.min(this._triesWanted * 2, MAXIMUM_TRIES)
    this._view.suspect(this._peer.id, incarnation)
  }

  /** Gives whether the pause was cut short because news can't wait. */
  private async _pause (ms: number, signal: AbortSignal): Promise<boolean> {
    this._wake = new AbortController()
    if (!this._urgent) await this._clock.sleep(Math.max(ms, 0), AbortSignal.any([signal, this._wake.signal]))
    return this._urgent
  }
}
