import { EndpointMirror } from './endpoint-mirror.js'

/** Maximum number of mirrored endpoint tables: one for the router that is followed, and some for other peers. */
const MAXIMUM_MIRRORS = 4

/** Copies of the endpoint tables of the routers that were asked last. */
export class EndpointMirrors {
  /** Copies by address, in the order in which they were used. */
  private readonly _mirrors = new Map<string, EndpointMirror>()

  /**
   * Returns the copy of a router's table; undefined if none is kept.
   * @param address address of the router
   */
  find (address: string): EndpointMirror | undefined {
    return this._mirrors.get(address)
  }

  /**
   * Returns the copy that a request to a router is based on, an empty one if none is kept.
   * @param address address of the router
   */
  use (address: string): EndpointMirror {
    const mirror = this._mirrors.get(address) ?? new EndpointMirror()
    this.keep(address, mirror)
    return mirror
  }

  /**
   * Keeps a copy, which may have been dropped while an answer was on its way.
   * @param address address of the router
   * @param mirror the copy
   */
  keep (address: string, mirror: EndpointMirror): void {
    this._mirrors.delete(address)
    this._mirrors.set(address, mirror)
    if (this._mirrors.size > MAXIMUM_MIRRORS) this._mirrors.delete(this._mirrors.keys().next().value as string)
  }
}
