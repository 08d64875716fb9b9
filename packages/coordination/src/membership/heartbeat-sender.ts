import type { Clock } from '../clock.js'
import type { EventLog } from '../event-log.js'
import type { PeerMessenger } from '../peer-messenger.js'
import type { RouterIdentity } from '../router-identity.js'
import type { FleetView } from './fleet-view.js'
import { hash32 } from './hash32.js'
import type { HeartbeatExchange } from './heartbeat-exchange.js'
import type { MemberComparison } from './member-comparison.js'

/** Bounds of the response timeout, which is otherwise half the heartbeat interval. */
const MINIMUM_TIMEOUT_MS = 250
const MAXIMUM_TIMEOUT_MS = 1_000
/** Minimum delay between two heartbeats to the same peer; doubled after each consecutive urgent heartbeat. */
const MINIMUM_DELAY_MS = 50
/** A call that exceeds its timeout by more than this indicates that this process was suspended. */
const PAUSE_TOLERANCE_MS = 100
/** Failed heartbeats before a peer is suspected; doubled on each suspicion until the peer responds again. */
const FAILURE_THRESHOLD = 2
const MAXIMUM_FAILURE_THRESHOLD = 32
/** Consecutive heartbeats with different digests before the member tables or the revisions are synchronized. */
const MEMBERS_MISMATCH_THRESHOLD = 3
const REVISIONS_MISMATCH_THRESHOLD = 6

/** Sends heartbeats to one peer, detects its failure, and repairs persistent differences from its view. */
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
  private _failureThreshold = FAILURE_THRESHOLD
  private _failures = 0
  private _membersMismatches = 0
  private _revisionsMismatches = 0

  /**
   * @param peer the receiver of the heartbeats
   * @param view this router's view of the fleet, in which an unresponsive peer is marked as a suspect
   * @param exchange creates heartbeats and applies their responses
   * @param comparison synchronizes member tables that remain different
   * @param options messenger, clock, event log, and the heartbeat interval in milliseconds
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

  /** Sends the next heartbeat without waiting for the heartbeat interval; the minimum delay still applies. */
  sendSoon (): void {
    this._urgent = true
    this._wake.abort()
  }

  /**
   * Sends heartbeats until the signal aborts.
   * @param signal stops the task
   */
  async run (signal: AbortSignal): Promise<void> {
    const phaseMs = hash32(this._view.self.identity.id + this._peer.id) % this._heartbeatMs
    await this._sleepUnlessUrgent(phaseMs, signal)
    let minimumDelayMs = MINIMUM_DELAY_MS
    while (!signal.aborted) {
      const responded = await this.sendHeartbeat()
      await this._clock.sleep(minimumDelayMs, signal)
      // Retries the first failed heartbeat after the minimum delay only; an unresponsive connection is replaced by then.
      if (!responded && this._failures === 1) continue
      const hasMoreUpdates = responded && this._exchange.pending.hasRecords(this._peer.id)
      const urgent = hasMoreUpdates || await this._sleepUnlessUrgent(this._heartbeatMs - minimumDelayMs, signal)
      // While a whole fleet starts, updates arrive continuously; longer delays batch them into fewer heartbeats.
      minimumDelayMs = urgent ? Math.min(minimumDelayMs * 2, this._heartbeatMs / 2) : MINIMUM_DELAY_MS
    }
  }

  /**
   * Sends one heartbeat and applies the response.
   * @returns whether the peer responded in time
   */
  async sendHeartbeat (): Promise<boolean> {
    this._urgent = false
    const message = this._exchange.createMessage(this._peer)
    const incarnation = this._view.table.get(this._peer.id)?.incarnation ?? 0
    const startedAt = this._clock.now()
    try {
      const response = await this._messenger.call(this._peer.peerAddress, 'heartbeat', message, this._timeoutMs)
      this._failures = 0
      this._failureThreshold = FAILURE_THRESHOLD
      await this._handleResponse(response)
      return true
    } catch (error) {
      this._exchange.requeue(this._peer, message)
      this._recordFailure(error, incarnation, this._clock.now() - startedAt)
      return false
    }
  }

  private async _handleResponse (response: unknown): Promise<void> {
    const outcome = this._exchange.handleResponse(this._peer, response)
    this._membersMismatches = outcome.sameMembers ? 0 : this._membersMismatches + 1
    this._revisionsMismatches = outcome.sameRevisions ? 0 : this._revisionsMismatches + 1
    try {
      if (outcome.unknown || this._membersMismatches >= MEMBERS_MISMATCH_THRESHOLD) {
        this._membersMismatches = 0
        await this._comparison.compare(this._peer.peerAddress)
      } else if (this._revisionsMismatches >= REVISIONS_MISMATCH_THRESHOLD) {
        this._revisionsMismatches = 0
        await this._comparison.fetchRevisions(this._peer.peerAddress, this._peer.id)
      }
    } catch (error) {
      this._eventLog.info('membership-comparison-failed', { peer: this._peer.peerAddress, error: String(error) })
    }
  }

  private _recordFailure (error: unknown, incarnation: number, elapsedMs: number): void {
    const paused = elapsedMs > this._timeoutMs + PAUSE_TOLERANCE_MS
    if (paused) return
    this._failures += 1
    this._eventLog.info('heartbeat-failed', { router: this._peer.id, failures: this._failures, error: String(error) })
    if (this._failures < this._failureThreshold) return
    this._failures = 0
    this._failureThreshold = Math.min(this._failureThreshold * 2, MAXIMUM_FAILURE_THRESHOLD)
    this._view.suspect(this._peer.id, incarnation)
  }

  /** Sleeps until the time has passed or an urgent heartbeat is requested; returns whether one was requested. */
  private async _sleepUnlessUrgent (ms: number, signal: AbortSignal): Promise<boolean> {
    this._wake = new AbortController()
    if (!this._urgent) await this._clock.sleep(Math.max(ms, 0), AbortSignal.any([signal, this._wake.signal]))
    return this._urgent
  }
}
