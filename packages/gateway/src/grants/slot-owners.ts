import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { SlotHolder } from './slot-holder.js'
import type { SlotListener } from './slot-listener.js'
import { SlotOwner } from './slot-owner.js'
import type { SlotOwnerOptions } from './slot-owner-options.js'
import type { SlotRefusal } from './slot-refusal.js'
import type { SlotRelease } from './slot-release.js'
import type { SlotRequest } from './slot-request.js'
import type { SlotTicket } from './slot-ticket.js'

/** Answer of a router that does not own the slots of the service. */
const NOT_OWNER: SlotRefusal = { code: ResultCode.NOT_OWNER, message: 'another router owns the slots of the service' }

/** A service whose slots this router owns or has owned. */
interface OwnedService {
  readonly owner: SlotOwner
  isOwned: boolean
}

/** The services whose slots this router owns. */
export class SlotOwners {
  private readonly _options: SlotOwnerOptions
  private readonly _owns: (service: string) => boolean
  private readonly _services = new Map<string, OwnedService>()
  private _lastGrant = 0
  private _onWork: () => void = () => undefined

  /**
   * @param options endpoints and what is known of them
   * @param owns returns whether this router owns the slots of a service
   */
  constructor (options: SlotOwnerOptions, owns: (service: string) => boolean) {
    this._options = options
    this._owns = owns
  }

  /** Whether there are grants in use or waiting requests. */
  get hasWork (): boolean {
    for (const { owner } of this._services.values()) if (owner.hasWork) return true
    return false
  }

  /** Number of grants in use, of all services. */
  get inUse (): number {
    let sum = 0
    for (const { owner } of this._services.values()) sum += owner.inUse
    return sum
  }

  /** Names of the services whose slots this router owns and has been asked for. */
  get services (): readonly string[] {
    return [...this._services].filter(([service, { isOwned }]) => isOwned && this._owns(service)).map(([service]) => service)
  }

  /**
   * Sets the listener that is called when a request arrives; it replaces the previous one.
   * @param onWork listener; it is called without arguments
   */
  onWork (onWork: () => void): void {
    this._onWork = onWork
  }

  /**
   * Handles a request for a slot.
   * @param holder router that asks
   * @param request what it wants
   * @param listener receives the answers, possibly before this method returns
   * @returns undefined if the request was answered at once
   */
  request (holder: SlotHolder, request: SlotRequest, listener: SlotListener): SlotTicket | undefined {
    if (!this._owns(request.service)) {
      this._resign(request.service)
      listener.refused(NOT_OWNER)
      return undefined
    }
    const ticket = this._ownerOf(request.service).request(holder, request, listener)
    this._onWork()
    return ticket
  }

  /**
   * Ends a grant that its router releases. Without effect if it has ended before.
   * @param release the grant and how its use ended
   */
  release (release: SlotRelease): void {
    for (const { owner } of this._services.values()) if (owner.release(release)) return
  }

  /**
   * Handles the loss of the connection to a router.
   * @param holder the router
   */
  holderLost (holder: SlotHolder): void {
    for (const { owner } of this._services.values()) owner.holderLost(holder)
  }

  /**
   * Forgets an endpoint that is no longer registered.
   * @param endpointId id of the endpoint
   */
  removeEndpoint (endpointId: string): void {
    for (const { owner } of this._services.values()) owner.removeEndpoint(endpointId)
  }

  /** Ends grants and requests whose time is over. To be called every few milliseconds while there is work. */
  sweep (): void {
    for (const [service, { owner, isOwned }] of this._services) {
      if (isOwned && !this._owns(service)) this._resign(service)
      owner.sweep()
    }
  }

  private _resign (service: string): void {
    const owned = this._services.get(service)
    if (owned === undefined || !owned.isOwned) return
    owned.isOwned = false
    owned.owner.resign(NOT_OWNER)
  }

  private _ownerOf (service: string): SlotOwner {
    let owned = this._services.get(service)
    if (owned === undefined) {
      const owner = new SlotOwner(service, this._options, () => {
        this._lastGrant += 1
        return this._lastGrant
      })
      owned = { owner, isOwned: true }
      this._services.set(service, owned)
    }
    if (!owned.isOwned) owned.owner.begin()
    owned.isOwned = true
    return owned.owner
  }
}
