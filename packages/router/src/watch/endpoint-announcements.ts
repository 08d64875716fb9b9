import type { HeartbeatExtension } from '@mimosarock/coordination/membership/heartbeat-extension.js'
import type { Clock } from '@mimosarock/coordination/clock.js'
import type { RouterIdentity } from '@mimosarock/coordination/router-identity.js'

/** Maximum number of announcements in one heartbeat; further ones are sent with the next. */
const MAXIMUM_ANNOUNCEMENTS = 8
/** Time after which an announcement is sent to a peer again, because a heartbeat may have been lost. */
const RESEND_MS = 15_000

/** Wire format of the announcement of one router: router id, version, addresses of failed and of leaving endpoints. */
type Announcement = readonly [string, number, readonly string[], readonly string[]]

/**
 * Disseminates endpoint states through heartbeats: failed endpoints as detected by their owners, and leaving endpoints
 * as marked in the VM lists that some routers read. Each router stores the newest announcement of every other router
 * and forwards it to its peers. An unchanged announcement is only sent again after a while, in case it was lost.
 */
export class EndpointAnnouncements implements HeartbeatExtension {
  readonly name = 'endpoints'
  private readonly _selfId: string
  private readonly _clock: Clock
  private readonly _sendHeartbeatNow: () => void
  private readonly _announcements = new Map<string, Announcement>()
  /** Addresses marked as leaving in any announcement; computed on demand. */
  private _leaving: ReadonlySet<string> | undefined
  /** Version and time of the last transmission of each announcement, by peer id and announcing router id. */
  private readonly _sent = new Map<string, Map<string, { version: number, sentAt: number }>>()

  /**
   * @param selfId id of this router
   * @param clock source of time
   * @param sendHeartbeatNow sends the next heartbeat to each peer immediately
   */
  constructor (selfId: string, clock: Clock, sendHeartbeatNow: () => void) {
    this._selfId = selfId
    this._clock = clock
    this._sendHeartbeatNow = sendHeartbeatNow
  }

  /**
   * Announces the endpoint states that this router observes. Does nothing if they have not changed.
   * @param failed addresses of owned endpoints that have failed
   * @param leaving addresses of endpoints that the VM list marks as leaving
   */
  announce (failed: readonly string[], leaving: readonly string[]): void {
    const known = this._announcements.get(this._selfId)
    const unchanged = known !== undefined && hasSameItems(known[2], failed) && hasSameItems(known[3], leaving)
    const nothingToAnnounce = known === undefined && failed.length === 0 && leaving.length === 0
    if (unchanged || nothingToAnnounce) return
    this._announcements.set(this._selfId, [this._selfId, (known?.[1] ?? 0) + 1, failed, leaving])
    this._leaving = undefined
    this._sendHeartbeatNow()
  }

  /**
   * Returns whether a router announces an endpoint as failed.
   * @param routerId id of the endpoint's owner; announcements of other routers do not count
   * @param address IP address and port of the endpoint
   */
  isFailed (routerId: string, address: string): boolean {
    return this._announcements.get(routerId)?.[2].includes(address) === true
  }

  /**
   * Returns whether any router announces an endpoint as leaving.
   * @param address IP address and port of the endpoint
   */
  isLeaving (address: string): boolean {
    this._leaving ??= new Set([...this._announcements.values()].flatMap((announcement) => announcement[3]))
    return this._leaving.has(address)
  }

  /**
   * Discards the announcements of routers that are no longer live.
   * @param liveIds ids of the live routers
   */
  retain (liveIds: ReadonlySet<string>): void {
    this._leaving = undefined
    for (const id of [...this._announcements.keys()]) {
      if (!liveIds.has(id) && id !== this._selfId) this._announcements.delete(id)
    }
    for (const id of [...this._sent.keys()]) {
      if (!liveIds.has(id)) this._sent.delete(id)
    }
  }

  /**
   * Returns the announcements that are due to be sent to a peer, or undefined if there are none.
   * @param peer recipient of the heartbeat
   */
  outgoing (peer: RouterIdentity): unknown {
    const now = this._clock.now()
    const sent = this._sent.get(peer.id) ?? new Map<string, { version: number, sentAt: number }>()
    this._sent.set(peer.id, sent)
    const due: Announcement[] = []
    for (const announcement of this._announcements.values()) {
      const [routerId, version] = announcement
      const last = sent.get(routerId)
      if (routerId === peer.id || (last?.version === version && now - last.sentAt < RESEND_MS)) continue
      if (due.length === MAXIMUM_ANNOUNCEMENTS) break
      sent.set(routerId, { version, sentAt: now })
      due.push(announcement)
    }
    return due.length > 0 ? due : undefined
  }

  /**
   * Stores the announcements received from a peer and forwards new ones immediately.
   * @param peer sender of the heartbeat
   * @param payload the announcements, not validated
   */
  incoming (peer: RouterIdentity, payload: unknown): void {
    if (!Array.isArray(payload)) return
    let changed = false
    for (const announcement of payload.filter(isAnnouncement)) {
      const [routerId, version] = announcement
      const known = this._announcements.get(routerId)
      if (routerId === this._selfId || (known !== undefined && known[1] >= version)) continue
      this._announcements.set(routerId, announcement)
      this._sent.get(peer.id)?.set(routerId, { version, sentAt: this._clock.now() })
      changed = true
    }
    if (!changed) return
    this._leaving = undefined
    this._sendHeartbeatNow()
  }
}

function hasSameItems (left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((item) => right.includes(item))
}

function isAnnouncement (value: unknown): value is Announcement {
  return Array.isArray(value) && typeof value[0] === 'string' && Number.isSafeInteger(value[1]) &&
    [value[2], value[3]].every((list) => Array.isArray(list) && list.every((item) => typeof item === 'string'))
}
